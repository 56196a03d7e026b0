"""Stand-in for a model engine with OpenAI's chat completions API.

``python -m standins.engine --port=0 --speed=1.0`` prints one JSON line with its
addresses once it listens.
"""

import asyncio
import json
import os
import sys
import time
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

from absl import flags
from tornado.web import Application

from pomelothread.clock import Clock, SystemClock

from .cache_publisher import CachePublisher
from .engine_admin import AdminHandler, AdminState
from .engine_model import EngineModel, EngineSequence, ModelSettings
from .serving import (
    CountedHandler,
    Counts,
    Faults,
    FaultsHandler,
    JsonHandler,
    announce,
    listen,
    parse_flags,
)
from .text import answer_words, prompt_words, token_ids

DEFAULT_MAX_TOKENS = 64
CRASH_STATUS = 70

FLAGS = flags.FlagValues()
flags.DEFINE_integer("port", 0, "port, 0 for any free one", flag_values=FLAGS)
flags.DEFINE_float("speed", 1.0, "divides every duration", flag_values=FLAGS)
flags.DEFINE_integer(
    "max_batch",
    16,
    "maximum number of sequences that run at the same time",
    flag_values=FLAGS,
)
flags.DEFINE_float("step_s", 0.015, "fixed cost of a step", flag_values=FLAGS)
flags.DEFINE_float(
    "step_s_per_sequence",
    0.0006,
    "cost of each running sequence in a step",
    flag_values=FLAGS,
)
flags.DEFINE_float(
    "prefill_s_per_token",
    0.0001,
    "cost of each uncached prompt token",
    flag_values=FLAGS,
)
flags.DEFINE_integer(
    "n_blocks", 4096, "size of the prefix cache in blocks", flag_values=FLAGS
)
flags.DEFINE_list("models", ["drafts"], "models to serve", flag_values=FLAGS)
flags.DEFINE_enum(
    "fencing",
    "enforce",
    ["enforce", "ignore"],
    "what to do with stale fencing tokens",
    flag_values=FLAGS,
)
flags.DEFINE_string(
    "journal", "", "file that received requests are appended to", flag_values=FLAGS
)
flags.DEFINE_float(
    "load_s", 0.05, "duration of each management command", flag_values=FLAGS
)


@dataclass(slots=True)
class Engine:
    """A running engine and the state that tests inspect."""

    model: EngineModel
    publisher: CachePublisher
    admin: AdminState
    faults: Faults
    counts: Counts
    clock: Clock
    metrics_history: deque[tuple[float, str]] = field(default_factory=deque)
    tasks: list[asyncio.Task[None]] = field(default_factory=list)
    started_s: float = field(default_factory=time.time)
    address: str = ""
    server: Any = None

    async def stop(self) -> None:
        """Stop listening and close the connections."""
        for task in self.tasks:
            task.cancel()
        self.publisher.close()
        self.server.stop()
        await self.server.close_all_connections()

    def metrics_text(self) -> str:
        """Return the metrics page as it was `metrics_lag_s` ago."""
        now_s = self.clock.monotonic_s()
        self.metrics_history.append((now_s, self._render_metrics()))
        visible = self.metrics_history[0][1]
        oldest_s = now_s - self.faults.metrics_lag_s
        while self.metrics_history and self.metrics_history[0][0] <= oldest_s:
            visible = self.metrics_history.popleft()[1]
        self.metrics_history.appendleft((oldest_s, visible))
        return visible

    def _render_metrics(self) -> str:
        label = f'{{model_name="{self.admin.models[0]}"}}'
        model = self.model
        gauges = {
            "vllm:num_requests_running": len(model.running),
            "vllm:num_requests_waiting": len(model.waiting),
            "vllm:gpu_cache_usage_perc": model.cache_usage,
            "vllm:kv_cache_usage_perc": model.cache_usage,
        }
        counters = {
            "vllm:prefix_cache_queries": (
                model.n_prefill_cached + model.n_prefill_computed
            ),
            "vllm:prefix_cache_hits": model.n_prefill_cached,
            "vllm:prompt_tokens": model.n_prefill_computed,
            "vllm:generation_tokens": model.n_generated,
        }
        lines = []
        for name, value in gauges.items():
            lines += [f"# TYPE {name} gauge", f"{name}{label} {float(value)}"]
        for name, value in counters.items():
            lines += [f"# TYPE {name} counter", f"{name}_total{label} {float(value)}"]
        lines.append(f"process_start_time_seconds {self.started_s}")
        return "\n".join(lines) + "\n"


class ChatHandler(CountedHandler):
    """``POST /v1/chat/completions``."""

    def initialize(self, engine: Engine) -> None:  # type: ignore[override]
        """Keep the engine."""
        super().initialize(engine.counts, engine.faults)
        self.engine = engine
        self.n_chunks = 0
        self.created = int(time.time())

    async def post(self) -> None:
        """Run the request and count how it ended."""
        is_complete = False
        try:
            is_complete = await self._answer()
        finally:
            self.counts.end(self.request_id, cancelled=not is_complete)

    async def _answer(self) -> bool:
        body = self.json_body()
        error = _validation_error(body)
        if error:
            self.send_error_text(400, error)
            return True
        if body["model"] not in self.engine.admin.models:
            self.send_error_text(404, f"The model `{body['model']}` does not exist.")
            return True
        if self.faults.close_before_answer:
            self.drop_connection()
            return False
        if self.faults.hang:
            await self.closed
            return False
        return await self._run(body)

    async def _run(self, body: dict[str, Any]) -> bool:
        self.body = body
        # Read once: if the fault were switched on and off again during a stream, the
        # stream would lack tokens in its middle and still end normally.
        self.closes_after_effect = self.faults.close_after_effect
        words = prompt_words(body["messages"])
        limit = body.get("max_completion_tokens") or body.get("max_tokens")
        n_output = int(limit or DEFAULT_MAX_TOKENS)
        self.words = answer_words(str(body["messages"][-1]["content"]), n_output)
        self.is_stream = bool(body.get("stream"))
        if self.is_stream:
            self.set_header("Content-Type", "text/event-stream")
            self.set_header("Cache-Control", "no-cache")
        self.sequence: EngineSequence = self.engine.model.submit(
            token_ids(words), n_output, self._on_token, self._crash_if_marked
        )
        if not await self.finishes_before_close(asyncio.shield(self.sequence.ended)):
            self.engine.model.cancel(self.sequence)
            return False
        if self.closes_after_effect:
            self.drop_connection()
        if self._finished:
            return False
        usage = self._usage(len(words), n_output)
        if self.is_stream:
            await self._finish_stream(usage)
        else:
            await self._send_whole(usage)
        return True

    def _crash_if_marked(self) -> None:
        marker = self.engine.faults.crash_on_text
        if marker and marker.encode() in self.request.body:
            os._exit(CRASH_STATUS)

    def _on_token(self, position: int) -> None:
        faults = self.faults
        if faults.stall_after_tokens == position + 1:
            self.sequence.is_stalled = True
        if not self.is_stream or self._finished or self.closes_after_effect:
            return
        text = self.words[position] if position == 0 else f" {self.words[position]}"
        delta = {"content": text}
        if position == 0:
            delta["role"] = "assistant"
        self._send_event({"choices": [_choice(delta, None)]})

    def _send_event(self, members: dict[str, Any]) -> None:
        if self._finished:
            return
        if self.faults.cut_after_chunks == self.n_chunks:
            self.drop_connection()
            return
        event = self._envelope("chat.completion.chunk") | members
        data = f"data: {json.dumps(event)}\n\n".encode()
        self.write(data * 2 if self.faults.duplicate_chunks else data)
        self.flush()
        self.n_chunks += 1

    def _envelope(self, kind: str) -> dict[str, Any]:
        return {
            "id": f"chatcmpl-{self.request_id}",
            "object": kind,
            "created": self.created,
            "model": self.body["model"],
        }

    def _usage(self, n_prompt: int, n_output: int) -> dict[str, Any]:
        return {
            "prompt_tokens": n_prompt,
            "completion_tokens": n_output,
            "total_tokens": n_prompt + n_output,
            "prompt_tokens_details": {"cached_tokens": self.sequence.n_cached},
        }

    async def _finish_stream(self, usage: dict[str, Any]) -> None:
        self._send_event({"choices": [_choice({}, "length")]})
        options = self.body.get("stream_options") or {}
        if options.get("include_usage"):
            self._send_event({"choices": [], "usage": usage})
        if not self._finished:
            self.finish(b"data: [DONE]\n\n")

    async def _send_whole(self, usage: dict[str, Any]) -> None:
        message = {"role": "assistant", "content": " ".join(self.words)}
        choice = {"index": 0, "message": message, "finish_reason": "length"}
        answer = self._envelope("chat.completion")
        answer |= {"choices": [choice], "usage": usage}
        data = json.dumps(answer).encode()
        if self.faults.cut_after_chunks is None:
            self.set_header("Content-Type", "application/json")
            self.finish(data)
            return
        # The length is that of the whole body, so that the receiver detects the cut.
        self.set_header("Content-Length", str(len(data)))
        self.write(data[: len(data) // 2])
        await self.flush()
        self.drop_connection()


def _choice(delta: dict[str, str], finish_reason: str | None) -> dict[str, Any]:
    return {"index": 0, "delta": delta, "finish_reason": finish_reason}


def _validation_error(body: Any) -> str:
    """Return why a chat request is invalid, or an empty string."""
    if not isinstance(body, dict) or not isinstance(body.get("model"), str):
        return "the body is not a JSON object with a model"
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        return "messages is not a list with at least one message"
    for message in messages:
        if not isinstance(message, dict) or not {"role", "content"} <= set(message):
            return "a message lacks its role or its content"
    return ""


class HealthHandler(JsonHandler):
    """``GET /health``."""

    def initialize(self, engine: Engine) -> None:
        """Keep the engine."""
        self.engine = engine

    async def get(self) -> None:
        """Report the health that the fault switches select."""
        if self.engine.faults.hang:
            await asyncio.get_running_loop().create_future()
        self.set_status(503 if self.engine.faults.unhealthy else 200)


class MetricsHandler(HealthHandler):
    """``GET /metrics``."""

    async def get(self) -> None:
        """Send the metrics page."""
        self.set_header("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
        if self.engine.faults.metrics_malformed:
            self.finish('vllm:num_requests_running{model_name="drafts" 3\n<html>')
            return
        self.finish(self.engine.metrics_text())


class ModelsHandler(HealthHandler):
    """``GET /v1/models``."""

    async def get(self) -> None:
        """List the models and adapters."""
        models = self.engine.admin.models
        listed = [{"id": name, "object": "model"} for name in models]
        self.send_json({"object": "list", "data": listed})


class StateHandler(HealthHandler):
    """``GET /_state``: counts and state, for tests."""

    async def get(self) -> None:
        """Show the counts."""
        engine = self.engine
        self.send_json(
            engine.counts.report()
            | {
                "n_prefill_computed": engine.model.n_prefill_computed,
                "n_prefill_cached": engine.model.n_prefill_cached,
                "n_generated": engine.model.n_generated,
                "models": engine.admin.models,
                "role": engine.admin.role,
                "commands": engine.admin.commands,
                "n_commands_running_max": engine.admin.n_running_max,
            }
        )


def start_engine(
    settings: ModelSettings,
    port: int = 0,
    models: Sequence[str] = ("drafts",),
    enforces_fencing: bool = True,
    load_s: float = 0.05,
    clock: Clock | None = None,
) -> Engine:
    """Start an engine in the running event loop."""
    clock = clock or SystemClock()
    faults = Faults()
    publisher = CachePublisher(faults)
    model = EngineModel(settings, clock, lambda: faults.slow_factor, publisher.publish)
    admin = AdminState(list(models), enforces_fencing, load_s)
    engine = Engine(model, publisher, admin, faults, Counts(), clock)
    shared: dict[str, Any] = {"engine": engine}
    commands = ("load_lora_adapter", "unload_lora_adapter", "load_model", "change_role")
    routes: list[Any] = [
        (r"/v1/chat/completions", ChatHandler, shared),
        (r"/health", HealthHandler, shared),
        (r"/metrics", MetricsHandler, shared),
        (r"/v1/models", ModelsHandler, shared),
        (r"/_state", StateHandler, shared),
        (r"/_faults", FaultsHandler, {"faults": faults}),
    ]
    for command in commands:
        shared = {"command": command, "admin": admin, "faults": faults, "clock": clock}
        routes.append((f"/v1/{command}", AdminHandler, shared))
    application = Application(routes, log_function=lambda handler: None)
    engine.server, engine.address = listen(application, port)
    engine.tasks.append(asyncio.create_task(model.run()))
    return engine


async def _serve() -> None:
    settings = ModelSettings(
        FLAGS.speed,
        FLAGS.max_batch,
        FLAGS.step_s,
        FLAGS.step_s_per_sequence,
        FLAGS.prefill_s_per_token,
        FLAGS.n_blocks,
    )
    engine = start_engine(
        settings, FLAGS.port, FLAGS.models, FLAGS.fencing == "enforce", FLAGS.load_s
    )
    engine.counts.open_journal(FLAGS.journal)
    announce(address=engine.address, cache_events=engine.publisher.address)
    await engine.tasks[0]


def main(argv: Sequence[str]) -> None:
    """Run an engine until the process is stopped."""
    parse_flags(FLAGS, argv)
    asyncio.run(_serve())


if __name__ == "__main__":
    main(sys.argv)
