"""Tests of the launcher: child processes, settings files, and cleanup."""

import asyncio
import os
import re
import signal
import subprocess
import sys
import tomllib

import psutil
import pytest
from tornado.httpclient import AsyncHTTPClient

from deployments import DEPLOYMENTS
from launch_settings import LaunchOptions, Node, NodeEnvironment, node_settings, to_toml
from launcher import Launcher
from pomelothread.settings import load_agent_settings, load_entry_settings
from processes import ROOT, ChildProcess, LaunchError

PORT_0 = "--port=0"


def program(tmp_path, module="standins.log_service"):
    return ChildProcess("p", module, tmp_path / "p.log")


def run(coroutine):
    return asyncio.run(coroutine)


@pytest.mark.parametrize(
    ("numbers", "timeout_s", "status"),
    [
        ((), 10, -signal.SIGTERM),
        ((), 0, -signal.SIGKILL),
        # A stopped process handles SIGTERM only after it continues.
        ((signal.SIGSTOP,), 10, -signal.SIGTERM),
        ((signal.SIGSTOP, signal.SIGCONT), 0, -signal.SIGKILL),
        ((signal.SIGSTOP,), 0, -signal.SIGKILL),
    ],
)
def test_a_program_announces_itself_and_ends(tmp_path, numbers, timeout_s, status):
    async def scenario():
        child = program(tmp_path)
        announced = await child.start([PORT_0])
        assert announced["address"].startswith("127.0.0.1:")
        for number in numbers:
            child.signal(number)
        assert await child.stop(timeout_s) == status
        assert not child.is_running
        child.signal(signal.SIGTERM)
        assert not psutil.pid_exists(child.pid)

    run(scenario())


@pytest.mark.parametrize(
    ("module", "part"),
    [
        ("this", "did not announce"),
        ("standins.no_such_module", "No module named"),
    ],
)
def test_a_program_that_does_not_announce_itself_is_an_error(tmp_path, module, part):
    async def scenario():
        child = program(tmp_path, module)
        with pytest.raises(LaunchError, match=part):
            await child.start([])
        assert not child.is_running

    run(scenario())


def test_a_running_program_is_not_started_twice(tmp_path):
    async def scenario():
        child = program(tmp_path)
        await child.start([PORT_0])
        with pytest.raises(LaunchError, match="is running"):
            await child.start([PORT_0])
        await child.stop(0)

    run(scenario())


def test_children_end_with_a_parent_that_is_killed(tmp_path):
    # Guards against orphans: an interrupted test run left its processes running.
    code = (
        "import asyncio, sys, pathlib, processes\n"
        "async def main():\n"
        "    child = processes.ChildProcess('p', 'standins.log_service', "
        "pathlib.Path(sys.argv[1]))\n"
        "    await child.start(['--port=0'])\n"
        "    print(child.pid, flush=True)\n"
        "    await asyncio.Event().wait()\n"
        "asyncio.run(main())\n"
    )
    parent = subprocess.Popen(
        [sys.executable, "-c", code, str(tmp_path / "p.log")],
        stdout=subprocess.PIPE,
        env=os.environ | {"PYTHONPATH": f"{ROOT / 'src'}:{ROOT / 'tools'}"},
    )
    child = psutil.Process(int(parent.stdout.readline()))
    parent.kill()
    parent.communicate()
    child.wait(10)


@pytest.mark.parametrize("deployment", DEPLOYMENTS.values(), ids=list(DEPLOYMENTS))
@pytest.mark.parametrize("options", [LaunchOptions(), LaunchOptions(sample_ratio=1)])
def test_the_settings_of_every_node_are_valid(tmp_path, deployment, options):
    upstream = {"address": "127.0.0.1:3", "cache_events": "127.0.0.1:4"}
    environment = NodeEnvironment("127.0.0.1:1", "127.0.0.1:2", tmp_path, upstream)
    plans = [("entry", plan) for plan in deployment.entries]
    plans += [("agent", plan) for plan in deployment.upstreams]
    for role, plan in plans:
        node = Node(role, plan, program(tmp_path))
        path = tmp_path / "settings.toml"
        path.write_text(to_toml(node_settings(node, deployment, options, environment)))
        load = load_entry_settings if role == "entry" else load_agent_settings
        assert load(path).unwrap().node.instance == plan.instance


def test_instances_have_unique_names_and_known_failure_domains():
    for deployment in DEPLOYMENTS.values():
        plans = (*deployment.entries, *deployment.upstreams)
        assert len({plan.instance for plan in plans}) == len(plans)
        assert {plan.failure_domain for plan in plans} <= set(deployment.regions)
        assert deployment.sheet.is_file()


@pytest.mark.parametrize(
    "table", [{"a": 'q"\\\n', "b": 1.5, "c": True, "t": {"d": "é", "e": 2}}, {"t": {}}]
)
def test_tables_written_as_toml_are_read_back_unchanged(table):
    assert tomllib.loads(to_toml(table)) == table


def test_a_launch_that_fails_leaves_nothing_behind():
    async def scenario():
        launcher = Launcher(DEPLOYMENTS["tiny"])
        launcher.standins["log"].module = "this"
        with pytest.raises(ExceptionGroup) as raised:
            async with launcher:
                raise AssertionError("not reached")
        assert raised.group_contains(LaunchError)
        assert not launcher.directory.exists()
        assert not any(p.is_running for p in launcher.standins.values())

    run(scenario())


def documented_metrics():
    page = (ROOT / "docs/OPERATIONS.md").read_text(encoding="utf-8")
    # This deployment has no gateway; test_gateway checks the gateway's metrics.
    return set(re.findall(r"`(pomelothread_(?!gateway_)\w+)", page))


async def metrics_text(node):
    url = f"http://{node.http_address}/metrics"
    return (await AsyncHTTPClient().fetch(url)).body.decode()


def test_a_deployment_starts_survives_a_killed_agent_and_stops_gracefully():
    async def scenario():
        async with Launcher(DEPLOYMENTS["tiny"]) as launcher:
            assert len(launcher.entry_urls) == 2
            exposed = "".join(
                [
                    await metrics_text(node)
                    for node in launcher.nodes.values()
                    if node.plan.instance in ("entry-1", "model-1")
                ]
            )
            assert documented_metrics() == set(
                re.findall(r"^# TYPE (pomelothread_\w+)", exposed, re.MULTILINE)
            )
            agent = launcher.nodes["model-1"]
            before = dict(agent.program.announced)
            await launcher.kill("model-1")
            await launcher.restart_node("model-1")
            assert agent.program.announced == before
            agent.state = "leaving"
            await launcher.list_instances()
            await launcher.wait_state("model-1", "draining")
            statuses = await launcher.stop_nodes()
            assert set(statuses.values()) == {0}
            assert len(statuses) == len(launcher.nodes)
        assert not launcher.directory.exists()
        assert psutil.Process().children() == []

    run(scenario())
