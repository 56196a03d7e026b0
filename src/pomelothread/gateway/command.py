"""The command that runs a gateway."""

import asyncio
import socket
import sys
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from absl import app, flags
from returns.result import Failure, Result, Success

from .. import __version__
from ..clock import BootClock
from ..events import setup_logging
from ..log_output import QueueingHandler
from ..settings import EXIT_SETTINGS, LoggingSettings
from .process import Gateway, MakeAdapter
from .settings import GatewaySettings

USAGE = """Run one gateway of pomelothread.

Example:
  pomelothread-gateway --settings=settings.toml

Flags:
  --settings=FILE  settings that the platform writes
  --metrics_port=N also serve /metrics at this port
  --check          check the settings and exit
  --version        print the version and exit

Exit codes: 0 graceful stop, 1 broken invariant, 2 invalid settings or arguments.
"""


@dataclass(frozen=True, slots=True)
class Platform:
    """What the adapter of a platform provides to start a gateway on it.

    Parameters
    ----------
    find_settings_path : callable
        Returns the path of the settings file, given the command line's arguments.
    load_settings : callable
        Reads the settings file, given its path and the port for metrics; returns the
        settings or a list of all faults.
    make_adapter : callable
        Returns the adapter of the platform.
    """

    find_settings_path: Callable[[list[str]], str | None]
    load_settings: Callable[[Path, int], Result[GatewaySettings, list[str]]]
    make_adapter: MakeAdapter


def run(platform: Platform, listener: socket.socket | None) -> None:
    """Parse the command line, run until stopped, and exit.

    Parameters
    ----------
    platform : Platform
        The platform to run on.
    listener : socket.socket or None
        Socket that already listens for callers, or None.
    """
    flags.DEFINE_string("settings", None, "Path of the settings file.")
    flags.DEFINE_integer("metrics_port", 0, "Port for /metrics, too; 0 for none.")
    flags.DEFINE_bool("check", False, "Check the settings and exit.")
    flags.DEFINE_bool("version", False, "Print the version and exit.")
    # absl shows this text for --help.
    sys.modules["__main__"].__doc__ = USAGE
    app.run(lambda argv: _run(argv, platform, listener))


def _run(argv: list[str], platform: Platform, listener: socket.socket | None) -> int:
    if flags.FLAGS.version:
        print(__version__)
        return 0
    settings_path = flags.FLAGS.settings or platform.find_settings_path([])
    if len(argv) > 1 or not settings_path:
        print("expected --settings=FILE and no other arguments", file=sys.stderr)
        return EXIT_SETTINGS
    path = Path(settings_path)
    match platform.load_settings(path, flags.FLAGS.metrics_port):
        case Failure(faults):
            print("\n".join(faults), file=sys.stderr)
            return EXIT_SETTINGS
        case Success(settings):
            if flags.FLAGS.check:
                print(f"{path}: no faults")
                return 0
    output = QueueingHandler(sys.stdout)
    setup_logging(LoggingSettings(), settings.instance, handler=output)
    gateway = Gateway(settings, BootClock(), platform.make_adapter, listener)
    gateway.metrics.lines_dropped.labels().set_function(lambda: output.n_dropped)
    try:
        return asyncio.run(gateway.run())
    finally:
        output.close()
