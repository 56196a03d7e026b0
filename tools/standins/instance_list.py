"""Stand-in for the platform's instance list.

Follows Prometheus HTTP service discovery: ``GET /instances`` answers a JSON
list of ``{"targets": [...], "labels": {...}}``. ``PUT /_instances`` sets it,
``POST /_faults`` switches `lag_s`, `frozen` and `down`.
"""

import asyncio
import sys
import time
from typing import Any

from absl import flags
from tornado.web import Application

from standins.serving import JsonHandler, announce, listen, parse_flags

_flags = flags.FlagValues()
flags.DEFINE_integer("port", 0, "Port; 0 for any.", flag_values=_flags)


class ListState:
    """The list, its history, and the faults."""

    def __init__(self) -> None:
        self.history: list[tuple[float, list[Any]]] = [(0.0, [])]
        self.faults: dict[str, Any] = {"lag_s": 0.0, "frozen": False, "down": False}
        self._frozen_at_s = 0.0

    def put(self, groups: list[Any]) -> None:
        """Change the list from now on."""
        self.history.append((time.monotonic(), groups))

    def change_faults(self, values: dict[str, Any]) -> None:
        """Set some switches."""
        if values.get("frozen") and not self.faults["frozen"]:
            self._frozen_at_s = time.monotonic()
        self.faults.update(values)

    def visible(self) -> list[Any]:
        """Return the list as a reader sees it now."""
        until_s = self._frozen_at_s if self.faults["frozen"] else time.monotonic()
        until_s -= self.faults["lag_s"]
        return [groups for at_s, groups in self.history if at_s <= until_s or not at_s][
            -1
        ]


class _Handler(JsonHandler):
    def initialize(self, state: ListState) -> None:
        self.state = state


class InstancesHandler(_Handler):
    """``GET /instances``; Tornado adds the ETag."""

    def get(self) -> None:
        """Answer with the list, or 503 while it is down."""
        if self.state.faults["down"]:
            self.send_error_text(503, "down")
            return
        self.send_json(self.state.visible())


class SetHandler(_Handler):
    """``PUT /_instances``."""

    def put(self) -> None:
        """Set the list."""
        self.state.put(self.json_body() or [])
        self.send_json({})


class FaultHandler(_Handler):
    """``POST /_faults``."""

    def post(self) -> None:
        """Switch faults."""
        self.state.change_faults(self.json_body() or {})
        self.send_json(self.state.faults)


async def _main(port: int) -> None:
    argument = {"state": ListState()}
    application = Application(
        [
            (r"/instances", InstancesHandler, argument),
            (r"/_instances", SetHandler, argument),
            (r"/_faults", FaultHandler, argument),
        ],
        log_function=lambda handler: None,
    )
    _, address = listen(application, port)
    announce(address=address)
    await asyncio.Event().wait()


if __name__ == "__main__":
    parse_flags(_flags, sys.argv)
    asyncio.run(_main(_flags.port))
