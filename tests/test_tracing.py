"""Trace context is propagated, and the SDK is not imported when tracing is off."""

import gzip
import http.server
import json
import os
import subprocess
import sys
import threading
from pathlib import Path

import pytest
from opentelemetry.trace import get_current_span

from pomelothread.settings import TracingSettings
from pomelothread.tracing import extract_context, inject_context, setup_tracing

SRC = Path(__file__).parent.parent / "src"
SAMPLED = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
UNSAMPLED = SAMPLED[:-2] + "00"


def run_python(code):
    return subprocess.run(
        [sys.executable, "-c", code],
        env=os.environ | {"PYTHONPATH": str(SRC)},
        check=False,
        capture_output=True,
    )


def test_without_a_destination_the_sdk_is_not_imported():
    # The SDK and the exporter take 6 MiB, a fifth of the memory that a node has for
    # control processes.
    code = (
        "import sys; from pomelothread.settings import TracingSettings as T; "
        "from pomelothread.tracing import setup_tracing; "
        "setup_tracing(T(), 'entry', 'e1'); "
        "sys.exit(any(m.startswith(('opentelemetry.sdk', 'opentelemetry.exporter')) "
        "for m in sys.modules))"
    )
    done = run_python(code)
    assert (done.returncode, done.stderr) == (0, b"")


def test_spans_reach_a_collector_at_the_exit_of_the_process_at_the_latest():
    received = []

    class Collector(http.server.BaseHTTPRequestHandler):
        def do_POST(self):
            length = int(self.headers["Content-Length"])
            received.append((self.path, self.rfile.read(length)))
            self.send_response(200)
            self.end_headers()

        def log_message(self, *arguments):
            pass

    server = http.server.HTTPServer(("127.0.0.1", 0), Collector)
    thread = threading.Thread(target=server.serve_forever)
    thread.start()
    try:
        done = run_python(
            "from pomelothread.settings import TracingSettings as T\n"
            "from pomelothread.tracing import setup_tracing\n"
            f"url = 'http://127.0.0.1:{server.server_port}/v1/traces'\n"
            "tracer = setup_tracing(T(url, 1.0), 'entry', 'e1')\n"
            "tracer.start_span('the hop').end()\n"
        )
    finally:
        server.shutdown()
        thread.join()
        server.server_close()
    assert (done.returncode, done.stderr) == (0, b"")
    ((path, body),) = received
    assert path == "/v1/traces"
    # The protocol buffer contains names as plain text, but may be compressed.
    assert b"the hop" in (gzip.decompress(body) if body[:2] == b"\x1f\x8b" else body)


@pytest.mark.parametrize("name", ["traceparent", "Traceparent", "TRACEPARENT"])
@pytest.mark.parametrize("parent", [SAMPLED, UNSAMPLED])
def test_a_traceparent_is_passed_on_when_tracing_is_off(name, parent):
    tracer = setup_tracing(TracingSettings(), "entry", "e1")
    headers = {}
    context = extract_context({name: parent, "Tracestate": "v=1"})
    inject_context(tracer.start_span("hop", context=context), headers)
    assert headers == {"traceparent": parent, "tracestate": "v=1"}


@pytest.mark.parametrize("value", ["", "junk", SAMPLED.replace("0af7", "zzzz")])
def test_a_malformed_traceparent_is_ignored(value):
    context = extract_context({"traceparent": value})
    assert not get_current_span(context).get_span_context().is_valid


@pytest.mark.parametrize(
    ("sample_ratio", "parent", "n_spans"),
    [(1.0, None, 1), (0.0, None, 0), (0.0, SAMPLED, 1), (1.0, UNSAMPLED, 0)],
)
def test_the_sampling_decision_of_the_caller_overrides_the_ratio(
    tmp_path, sample_ratio, parent, n_spans
):
    path = tmp_path / "spans.jsonl"
    settings = TracingSettings(sample_ratio=sample_ratio, span_file=str(path))
    tracer = setup_tracing(settings, "entry", "e1")
    headers = {} if parent is None else {"traceparent": parent}
    span = tracer.start_span("hop", context=extract_context(headers))
    forwarded = {}
    inject_context(span, forwarded)
    span.end()
    lines = path.read_text(encoding="utf-8").splitlines()
    assert len(lines) == n_spans
    for line in lines:
        context = json.loads(line)["context"]
        assert context["trace_id"].removeprefix("0x") in forwarded["traceparent"]
        assert context["span_id"].removeprefix("0x") in forwarded["traceparent"]
