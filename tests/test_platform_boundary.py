"""Only the platform package uses the platform's names, and nothing else imports it."""

import ast
from pathlib import Path

import pytest

SOURCE = Path(__file__).parent.parent / "src/pomelothread"
PLATFORM = SOURCE / "platform"

WIRE_NAMES = (
    "x-attempt-id",
    "x-deadline-ms",
    "x-token-usage",
    "x-expect-instance",
    "x-response-seal",
    "x-not-executed",
    "x-tenant",
    "server-leaving",
    "server-limit",
    "api-key",
    "api_keys",
    "target_latency_ms",
    "gap_aim_ms",
    "traffic_split",
    "log-append",
    "log-read",
    "log-newest",
    "keyed.",
    "/v1/readiness",
    "boot.toml",
    "POMELOTHREAD_SETTINGS",
)


def modules(folder):
    return sorted(folder.rglob("*.py"))


def imported(path):
    """Yield the dotted names that a module imports, relative ones resolved."""
    package = path.relative_to(SOURCE.parent).parent.parts
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            base = package[: len(package) - node.level + 1] if node.level else ()
            yield ".".join((*base, node.module or ""))


def modules_outside():
    return [path for path in modules(SOURCE) if PLATFORM not in path.parents]


def test_no_module_outside_the_package_imports_it():
    assert modules_outside()
    importers = [
        path.name
        for path in modules_outside()
        if any(name.startswith("pomelothread.platform") for name in imported(path))
    ]
    assert importers == []


def test_the_package_imports_only_one_policy_module():
    policy_imports = {
        (path.name, name)
        for path in modules(PLATFORM)
        for name in imported(path)
        if name.startswith("pomelothread.policy")
    }
    # The settings need this data class for the tolerances of quotas.
    assert policy_imports == {("boot.py", "pomelothread.policy.quotas")}


@pytest.mark.parametrize("name", WIRE_NAMES)
def test_no_wire_name_is_used_outside_the_package(name):
    found = [
        path.relative_to(SOURCE)
        for path in modules_outside()
        if name.lower() in path.read_text(encoding="utf-8").lower()
    ]
    assert found == []


def test_most_wire_names_are_used_in_the_package():
    text = "".join(path.read_text(encoding="utf-8") for path in modules(PLATFORM))
    used = [name for name in WIRE_NAMES if name.lower() in text.lower()]
    assert len(used) >= 15


def test_the_package_is_small():
    n_lines = sum(
        len(path.read_text(encoding="utf-8").splitlines()) for path in modules(PLATFORM)
    )
    assert n_lines < 900
