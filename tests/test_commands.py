"""Each console command prints its help and rejects an invalid command line."""

import subprocess
import sys

import pytest

MODULES = {
    "pomelothread-entry": "pomelothread.entry.command",
    "pomelothread-agent": "pomelothread.agent.command",
    "pomelothread-sheet": "pomelothread.operators.command",
}


def run(module, *arguments):
    return subprocess.run(
        [sys.executable, "-m", module, *arguments],
        capture_output=True,
        text=True,
        check=False,
    )


@pytest.mark.parametrize("name", MODULES)
def test_help_shows_the_flags_the_exit_codes_and_an_example(name):
    result = run(MODULES[name], "--help")
    text = (result.stdout + result.stderr).lower()
    for expected in (name, "--version", "exit codes", "example"):
        assert expected in text


@pytest.mark.parametrize(
    ("name", "arguments"),
    [
        ("pomelothread-entry", []),
        ("pomelothread-agent", ["surplus"]),
        ("pomelothread-agent", ["--settings=/no/such/file"]),
        ("pomelothread-sheet", ["unknown-verb"]),
        ("pomelothread-sheet", ["check", "/no/such/file"]),
    ],
)
def test_an_invalid_command_line_exits_with_2(name, arguments):
    result = run(MODULES[name], *arguments)
    assert result.returncode == 2, result.stderr
    assert result.stderr


@pytest.mark.parametrize("name", MODULES)
def test_the_version_is_printed(name):
    assert run(MODULES[name], "--version").stdout.count(".") == 2
