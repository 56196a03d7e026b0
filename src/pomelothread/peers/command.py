"""The command line shared by the entry and agent programs."""

import asyncio
import sys
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any, Protocol, TypeVar

from absl import app, flags
from returns.result import Result

from .. import __version__
from ..clock import Clock, SystemClock
from ..events import setup_logging
from ..settings import LoggingSettings, NodeSettings, settings_or_exit
from ..settings_fields import SettingFault

USAGE = """Run one {role} of pomelothread.

Example:
  pomelothread-{role} --settings=/etc/pomelothread/{role}.toml

Flags:
  --settings=FILE  TOML settings; docs/man/pomelothread-{role}.md lists them
  --version        print the version and exit

The process prints its addresses as one JSON line when it listens, logs to
stderr, and stops gracefully on SIGTERM.

Exit codes: 0 stopped gracefully, 1 an invariant was broken, 2 the settings have
faults or the command line is wrong.
"""


class ProcessSettings(Protocol):
    """Settings that entries and agents have in common."""

    @property
    def node(self) -> NodeSettings:
        """Table ``[node]``."""
        ...

    @property
    def logging(self) -> LoggingSettings:
        """Table ``[logging]``."""
        ...


SettingsT = TypeVar("SettingsT", bound=ProcessSettings)


def run_command(
    role: str,
    load: Callable[[Path], Result[SettingsT, list[SettingFault]]],
    run: Callable[[SettingsT, Clock], Coroutine[Any, Any, int]],
) -> None:
    """Parse the command line, load the settings and run until stopped.

    Parameters
    ----------
    role : str
        ``entry`` or ``agent``.
    load : callable
        Loads and validates the settings file.
    run : callable
        Runs the process and returns its exit code.
    """
    flags.DEFINE_string("settings", None, "Path of the TOML settings file.")
    flags.DEFINE_bool("version", False, "Print the version and exit.")
    # absl shows this text for --help.
    sys.modules["__main__"].__doc__ = USAGE.format(role=role)

    def main(argv: list[str]) -> int:
        if flags.FLAGS.version:
            print(__version__)
            return 0
        if len(argv) > 1:
            print(f"unexpected arguments: {' '.join(argv[1:])}", file=sys.stderr)
            return 2
        if not flags.FLAGS.settings:
            print("--settings is missing; give a TOML file", file=sys.stderr)
            return 2
        settings = settings_or_exit(load, Path(flags.FLAGS.settings))
        setup_logging(settings.logging, settings.node.instance)
        return asyncio.run(run(settings, SystemClock()))

    app.run(main)
