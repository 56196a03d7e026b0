"""The catalogue of events, the code and every call of log_event agree."""

import ast
import io
import json
import logging
import re
from pathlib import Path

import pytest

from pomelothread.events import Event, log_event, setup_logging
from pomelothread.settings import LoggingSettings

ROOT = Path(__file__).parent.parent
NOT_FIELDS = {"exc_info"}


@pytest.fixture
def root_logger():
    root = logging.getLogger()
    before = root.handlers[:], root.level
    yield root
    root.handlers[:] = before[0]
    root.setLevel(before[1])


def catalogue_rows():
    for line in (ROOT / "docs/events.md").read_text(encoding="utf-8").splitlines():
        cells = [cell.strip() for cell in line.strip("|").split("|")]
        if cells[0].isdigit():
            yield cells


def test_the_catalogue_lists_exactly_the_events_of_the_code():
    documented = [tuple(cells[:5]) for cells in catalogue_rows()]
    assert documented == [
        (
            str(event.number),
            f"`{event.name}`",
            logging.getLevelName(event.level).lower(),
            re.sub(r"%\((\w+)\)s", r"{\1}", event.template),
            ", ".join(f"`{field}`" for field in event.fields),
        )
        for event in Event
    ]


def test_the_catalogue_explains_every_event_and_names_an_action():
    assert all(len(cells) == 7 and cells[5] and cells[6] for cells in catalogue_rows())


def test_numbers_are_unique_and_no_field_is_a_parameter_of_log_event():
    numbers = [event.number for event in Event]
    assert len(set(numbers)) == len(numbers) == len(Event)
    assert not NOT_FIELDS & {field for event in Event for field in event.fields}


def event_calls(source):
    """Yield (line, event name or None, keywords) of each call of log_event."""
    for node in ast.walk(ast.parse(source)):
        if not isinstance(node, ast.Call):
            continue
        name = getattr(node.func, "id", None) or getattr(node.func, "attr", None)
        if name != "log_event":
            continue
        event = node.args[1] if len(node.args) > 1 else None
        is_member = isinstance(event, ast.Attribute) and (
            getattr(event.value, "id", None) == "Event"
        )
        keywords = {keyword.arg for keyword in node.keywords}
        yield node.lineno, event.attr if is_member else None, keywords


def call_faults(path, source):
    for line, name, keywords in event_calls(source):
        if name not in Event.__members__:
            yield f"{path}:{line}: the second argument is not a member of Event"
        elif keywords - NOT_FIELDS != set(Event[name].fields):
            yield f"{path}:{line}: {name} has fields {Event[name].fields}"


def test_every_call_passes_exactly_the_fields_of_its_event():
    # A wrong field would only be noticed as a traceback when the event is logged.
    paths = sorted((ROOT / "src").rglob("*.py"))
    assert paths
    faults = [
        fault
        for path in paths
        for fault in call_faults(path, path.read_text(encoding="utf-8"))
    ]
    assert faults == []


def test_every_event_of_the_catalogue_is_logged_somewhere():
    logged = {
        name
        for path in (ROOT / "src").rglob("*.py")
        for _, name, _ in event_calls(path.read_text(encoding="utf-8"))
    }
    assert set(Event.__members__) - logged == set()


@pytest.mark.parametrize(
    ("call", "n_faults"),
    [
        ("log_event(log, Event.UPSTREAM_UP, url=u)", 0),
        ("events.log_event(log, Event.UPSTREAM_UP, url=u, exc_info=e)", 0),
        ("log_event(log, Event.UPSTREAM_UP)", 1),
        ("log_event(log, Event.UPSTREAM_UP, url=u, detail=d)", 1),
        ("log_event(log, Event.UPSTREAM_UP, **fields)", 1),
        ("log_event(log, Event.NO_SUCH_EVENT)", 1),
        ("log_event(log, event, url=u)", 1),
    ],
)
def test_the_check_of_calls_detects_faults(call, n_faults):
    assert len(list(call_faults("x.py", call))) == n_faults


def test_a_json_line_holds_number_name_text_and_fields(root_logger):
    stream = io.StringIO()
    setup_logging(LoggingSettings(), "agent-1", stream)
    logger = logging.getLogger("pomelothread.test")
    log_event(logger, Event.UPSTREAM_DOWN, url="http://[::1]:1", detail="100% lost\n")
    logger.info("plain %s", "line")
    event, plain = map(json.loads, stream.getvalue().splitlines())
    assert event["event"] == 601
    assert event["name"] == "UPSTREAM_DOWN"
    assert event["level"] == "error"
    assert event["instance"] == "agent-1"
    assert event["text"] == "upstream http://[::1]:1 is down: 100% lost\n"
    assert event["fields"] == {"url": "http://[::1]:1", "detail": "100% lost\n"}
    assert "event" not in plain
    assert plain["text"] == "plain line"


def test_a_json_line_holds_the_traceback_of_a_broken_invariant(root_logger):
    stream = io.StringIO()
    setup_logging(LoggingSettings(), "agent-1", stream)
    fault = AssertionError("grant used twice")
    log_event(
        logging.getLogger("x"), Event.INVARIANT_BROKEN, exc_info=fault, detail="g"
    )
    (line,) = stream.getvalue().splitlines()
    assert "grant used twice" in json.loads(line)["traceback"]


def test_a_text_line_shows_the_number_and_levels_are_respected(root_logger):
    stream = io.StringIO()
    setup_logging(LoggingSettings(level="warning", format="text"), "a%1", stream)
    log_event(logging.getLogger("x"), Event.UPSTREAM_UP, url="u")
    log_event(logging.getLogger("x"), Event.UPSTREAM_DOWN, url="u", detail="d")
    (line,) = stream.getvalue().splitlines()
    assert line.endswith("ERROR    a%1 601 upstream u is down: d")
