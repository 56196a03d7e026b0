"""Reads the span files of all nodes and formats a trace as a tree."""

import json
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path
from typing import Any


@dataclass(frozen=True, slots=True)
class SpanLine:
    """One finished span.

    Parameters
    ----------
    trace_id, span_id, parent_id : str
        Hexadecimal without "0x"; `parent_id` is "" for a root span.
    name : str
        Name of the span.
    service, instance : str
        Program and instance that recorded the span.
    started_at, ended_at : datetime
        Start and end in UTC.
    """

    trace_id: str
    span_id: str
    parent_id: str
    name: str
    service: str
    instance: str
    started_at: datetime
    ended_at: datetime

    @property
    def duration_ms(self) -> float:
        """Duration in milliseconds."""
        return (self.ended_at - self.started_at).total_seconds() * 1e3


def parse_span(line: str) -> SpanLine:
    """Parse one line as written by OpenTelemetry's console exporter."""
    span: dict[str, Any] = json.loads(line)
    attributes = span["resource"]["attributes"]
    return SpanLine(
        span["context"]["trace_id"].removeprefix("0x"),
        span["context"]["span_id"].removeprefix("0x"),
        (span["parent_id"] or "").removeprefix("0x"),
        span["name"],
        attributes["service.name"],
        attributes["service.instance.id"],
        datetime.fromisoformat(span["start_time"]),
        datetime.fromisoformat(span["end_time"]),
    )


def read_trace(paths: Iterable[Path], trace_id: str) -> list[SpanLine]:
    """Return the spans of one trace, sorted by start.

    Parameters
    ----------
    paths : iterable of Path
        Span files of the nodes.
    trace_id : str
        Hexadecimal trace id.
    """
    spans = [
        parse_span(line)
        for path in paths
        for line in path.read_text(encoding="utf-8").splitlines()
        if trace_id in line
    ]
    return sorted(spans, key=lambda span: span.started_at)


def format_trace(spans: list[SpanLine]) -> str:
    """Return a trace as an indented tree with the duration of each hop.

    Parameters
    ----------
    spans : list of SpanLine
        All spans of the trace, sorted by start.
    """
    if not spans:
        return "(no span)"
    known = {span.span_id for span in spans}
    start = spans[0].started_at
    lines: list[str] = []

    def add(span: SpanLine, depth: int) -> None:
        offset_ms = (span.started_at - start).total_seconds() * 1e3
        name = f"{'  ' * depth}{span.name}"
        lines.append(
            f"{offset_ms:9.1f} ms {span.duration_ms:9.1f} ms  {name:40} {span.instance}"
        )
        for child in spans:
            if child.parent_id == span.span_id:
                add(child, depth + 1)

    for span in spans:
        if span.parent_id not in known:
            add(span, 0)
    return "\n".join([f"{'start':>12} {'duration':>12}  hop", *lines])
