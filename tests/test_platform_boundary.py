"""The platform's names stay in its folder, and nothing but the command uses it."""

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


def outside():
    return [path for path in modules(SOURCE) if PLATFORM not in path.parents]


def test_nothing_outside_the_folder_imports_it():
    assert outside()
    users = [
        path.name
        for path in outside()
        if any(name.startswith("pomelothread.platform") for name in imported(path))
    ]
    assert users == []


def test_the_folder_imports_no_decisions():
    decisions = {
        (path.name, name)
        for path in modules(PLATFORM)
        for name in imported(path)
        if name.startswith("pomelothread.policy")
    }
    # The type in which the settings say how operators measure quotas.
    assert decisions == {("boot.py", "pomelothread.policy.quotas")}


@pytest.mark.parametrize("name", WIRE_NAMES)
def test_no_wire_name_stands_outside_the_folder(name):
    found = [
        path.relative_to(SOURCE)
        for path in outside()
        if name.lower() in path.read_text(encoding="utf-8").lower()
    ]
    assert found == []


def test_the_wire_names_are_those_of_the_folder():
    text = "".join(path.read_text(encoding="utf-8") for path in modules(PLATFORM))
    used = [name for name in WIRE_NAMES if name.lower() in text.lower()]
    assert len(used) >= 15


def test_the_folder_is_small():
    n_lines = sum(
        len(path.read_text(encoding="utf-8").splitlines()) for path in modules(PLATFORM)
    )
    assert n_lines < 900
