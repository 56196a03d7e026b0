"""Settings are read from TOML, and all faults of a file are reported together."""

import dataclasses
import re
from pathlib import Path

import pytest
from returns.result import Failure, Success

from pomelothread.addresses import parse_address
from pomelothread.settings import (
    AgentSettings,
    EntrySettings,
    load_agent_settings,
    load_entry_settings,
    settings_or_exit,
)

ENTRY = """
http_address = "0.0.0.0:0"
control_address = "127.0.0.1:0"
log_address = "127.0.0.1:9001"
instance_list_address = "127.0.0.1:9002"
[node]
instance = "entry-1"
failure_domain = "kathiawar-1"
region = "kathiawar"
"""
AGENT = (
    ENTRY.replace("0.0.0.0:0", "127.0.0.1:0").replace(
        "[node]", 'pool = "drafting"\n[node]'
    )
    + """
[upstream]
kind = "model"
url = "http://127.0.0.1:8000/"
"""
)


def load(tmp_path, load_settings, text):
    path = tmp_path / "settings.toml"
    path.write_text(text, encoding="utf-8")
    return load_settings(path)


def test_an_entry_file_with_only_required_keys_gets_defaults(tmp_path):
    settings = load(tmp_path, load_entry_settings, ENTRY).unwrap()
    assert settings.node.instance == "entry-1"
    assert settings.logging.format == "json"
    assert settings.tracing.otlp_endpoint == ""


def test_the_final_slash_of_an_upstream_url_is_removed(tmp_path):
    settings = load(tmp_path, load_agent_settings, AGENT).unwrap()
    assert settings.upstream.url == "http://127.0.0.1:8000"
    assert settings.places.initial == 8


@pytest.mark.parametrize(
    ("old", "new", "key", "part"),
    [
        ('"0.0.0.0:0"', '"localhost:80"', "http_address", "given 'localhost:80'"),
        ('"127.0.0.1:0"', '"0.0.0.0:0"', "control_address", "others can connect"),
        ('"127.0.0.1:9001"', '"127.0.0.1:0"', "log_address", '"ip:port"'),
        ('"127.0.0.1:9001"', '"127.0.0.1:99999"', "log_address", '"ip:port"'),
        ('"127.0.0.1:9002"', "9002", "instance_list_address", "given 9002"),
        ('"entry-1"', '"entry 1"', "node.instance", "without spaces"),
        ('"entry-1"', '""', "node.instance", "add the key|write a name"),
        ('region = "kathiawar"', "", "node.region", "given nothing"),
        ("[node]", "max_wating = 1\n[node]", "max_wating", '"max_waiting"'),
        ("[node]", "[node]\nzzz = 1", "node.zzz", "one of instance, failure_domain"),
        ("[node]", "max_waiting = 0\n[node]", "max_waiting", "from 1 to"),
        ("[node]", "max_waiting = true\n[node]", "max_waiting", "given True"),
        ("[node]", "max_waiting = 1.5\n[node]", "max_waiting", "an integer"),
        ("[node]", "drain_accept_s = nan\n[node]", "drain_accept_s", "given nan"),
        ("[node]", 'logging = "x"\n[node]', "logging", "write [logging]"),
        ("[node]", '[logging]\nlevel = "loud"\n[node]', "logging.level", "one of"),
        (
            "[node]",
            "[tracing]\nsample_ratio = 1.1\n[node]",
            "tracing.sample_ratio",
            "from 0 to 1",
        ),
        (
            "[node]",
            '[tracing]\notlp_endpoint = "collector"\n[node]',
            "tracing.otlp_endpoint",
            "URL",
        ),
        ("[node]", "[node", "", "TOML in UTF-8"),
    ],
)
def test_a_fault_names_the_key_and_the_expected_value(tmp_path, old, new, key, part):
    assert old in ENTRY
    (fault,) = load(tmp_path, load_entry_settings, ENTRY.replace(old, new, 1)).failure()
    assert fault.key == key
    assert any(one in str(fault) for one in part.split("|"))


@pytest.mark.parametrize(
    ("old", "new", "key"),
    [
        ('"http://127.0.0.1:8000/"', '"http://engine:8000"', "upstream.url"),
        ('"http://127.0.0.1:8000/"', '"http://127.0.0.1"', "upstream.url"),
        ('"http://127.0.0.1:8000/"', '"http://127.0.0.1:x"', "upstream.url"),
        ('"model"', '"gpu"', "upstream.kind"),
        ("[node]", "[places]\ninitial = 65\n[node]", "places"),
        ("[upstream]", "[upstream]\nenforces_fencing = 1", "upstream.enforces_fencing"),
        ('pool = "drafting"', "", "pool"),
    ],
)
def test_a_fault_in_agent_settings_names_the_key(tmp_path, old, new, key):
    assert old in AGENT
    (fault,) = load(tmp_path, load_agent_settings, AGENT.replace(old, new, 1)).failure()
    assert fault.key == key


def test_all_faults_are_printed_before_exit_with_2(tmp_path, capsys):
    path = tmp_path / "settings.toml"
    path.write_text('http_adress = "0.0.0.0:0"\n', encoding="utf-8")
    with pytest.raises(SystemExit) as exited:
        settings_or_exit(load_entry_settings, path)
    assert exited.value.code == 2
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == 4 + 3 + 1 + 1
    assert 'http_adress: given an unknown key, expected "http_address"' in lines[-2]


def test_a_missing_file_is_a_fault(tmp_path):
    assert isinstance(load_entry_settings(tmp_path / "none.toml"), Failure)


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("[::1]:80", "[::1]:80"),
        ("::1:80", None),
        ("[127.0.0.1]:80", None),
        ("127.0.0.1", None),
        ("127.0.0.1:-1", None),
    ],
)
def test_addresses_are_ip_and_port(text, expected):
    address = parse_address(text)
    assert (None if address is None else str(address)) == expected


@pytest.mark.parametrize(
    "path",
    sorted(Path(__file__).parent.parent.glob("examples/*.toml")),
    ids=lambda path: path.name,
)
def test_every_example_is_valid(path):
    load_settings = (
        load_agent_settings if path.name.startswith("agent") else load_entry_settings
    )
    assert isinstance(load_settings(path), Success)


def setting_keys(cls, prefix=""):
    for field in dataclasses.fields(cls):
        if dataclasses.is_dataclass(field.type):
            yield from setting_keys(field.type, f"{prefix}{field.name}.")
        else:
            yield prefix + field.name


@pytest.mark.parametrize(
    ("page", "cls"), [("entry", EntrySettings), ("agent", AgentSettings)]
)
def test_the_manual_page_lists_exactly_the_keys(page, cls):
    path = Path(__file__).parent.parent / f"docs/man/pomelothread-{page}.md"
    settings = path.read_text(encoding="utf-8").split("## Settings")[1]
    rows = re.findall(r"^\| (`[^|]+) \|", settings.split("\n## ")[0], re.MULTILINE)
    documented = {key for row in rows for key in re.findall(r"`([^`]+)`", row)}
    keys = set(setting_keys(cls))
    for table in ("logging", "tracing"):
        if f"{table}.*" in documented:
            documented -= {f"{table}.*"}
            keys = {key for key in keys if not key.startswith(f"{table}.")}
    assert documented == keys
