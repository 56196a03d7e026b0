"""Child processes that print their addresses on stdout once they listen."""

import asyncio
import os
import signal
import sys
from collections.abc import Sequence
from contextlib import suppress
from pathlib import Path

import msgspec

ROOT = Path(__file__).resolve().parent.parent

# Starting one interpreter takes well under a second. Starting 30 of them next to a
# running test suite took several seconds.
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 30.0

_LOG_TAIL_BYTES = 2000


class LaunchError(Exception):
    """A process did not start, or ended too early."""


class ChildProcess:
    """A child process that can be started, signalled and stopped.

    Parameters
    ----------
    name : str
        Name for error messages.
    module : str
        Module to run with ``python -m``.
    log_path : Path
        File that its stderr is appended to.
    """

    __slots__ = ("_drain", "_process", "announced", "log_path", "module", "name")

    def __init__(self, name: str, module: str, log_path: Path) -> None:
        self.name = name
        self.module = module
        self.log_path = log_path
        self.announced: dict[str, str] = {}
        self._process: asyncio.subprocess.Process | None = None
        self._drain: asyncio.Task[None] | None = None

    @property
    def pid(self) -> int:
        """Process id of the last start."""
        if self._process is None:
            raise LaunchError(f"{self.name} was never started")
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """Whether the process has been started and has not ended."""
        return self._process is not None and self._process.returncode is None

    async def start(self, arguments: Sequence[str]) -> dict[str, str]:
        """Start the process and wait until it announces its addresses.

        Parameters
        ----------
        arguments : sequence of str
            Arguments of the module.

        Returns
        -------
        dict of str to str
            Announced addresses by name. A process that ends or announces
            nothing within `START_TIMEOUT_S` raises a LaunchError with the end
            of its log.
        """
        if self.is_running:
            raise LaunchError(f"{self.name} is running; stop it first")
        paths = f"{ROOT / 'src'}{os.pathsep}{ROOT / 'tools'}"
        with self.log_path.open("ab") as log_file:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "child",
                str(os.getpid()),
                self.module,
                *arguments,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=asyncio.subprocess.PIPE,
                stderr=log_file,
                env=os.environ | {"PYTHONPATH": paths},
                # Ctrl-C in a terminal signals the parent only, which then stops
                # its children in order.
                start_new_session=True,
            )
        stdout = self._process.stdout
        if stdout is None:
            raise AssertionError("stdout is not a pipe")
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                line = await stdout.readline()
            self.announced = msgspec.json.decode(line, type=dict[str, str])
        except (TimeoutError, msgspec.DecodeError) as error:
            await self.stop(timeout_s=0)
            raise LaunchError(
                f"{self.name} did not announce its addresses: {self.log_tail()}"
            ) from error
        # A child that keeps printing would block on a full pipe.
        self._drain = asyncio.create_task(_discard(stdout))
        return self.announced

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, if the process is running."""
        if self._process is None or not self.is_running:
            return
        # Popen.send_signal polls the child first. If the child has just ended, this
        # takes the exit status away from asyncio, which then reports 255.
        with suppress(ProcessLookupError):
            os.kill(self._process.pid, number)

    async def wait(self) -> int:
        """Wait for the end and return the exit status; negative for a signal."""
        if self._process is None:
            raise LaunchError(f"{self.name} was never started")
        status = await self._process.wait()
        if self._drain is not None:
            await self._drain
        return status

    async def stop(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Stop the process with SIGTERM, and kill it if it does not end in time.

        Parameters
        ----------
        timeout_s : float
            How long to wait before the kill; 0 kills at once.

        Returns
        -------
        int
            Exit status, negative for a signal; 0 if it was never started.
        """
        if self._process is None:
            return 0
        if timeout_s > 0:
            self.signal(signal.SIGTERM)
            # A process paused by SIGSTOP handles SIGTERM only after SIGCONT.
            self.signal(signal.SIGCONT)
            try:
                async with asyncio.timeout(timeout_s):
                    return await self.wait()
            except TimeoutError:
                pass
        self.signal(signal.SIGKILL)
        return await self.wait()

    def log_tail(self) -> str:
        """Return the end of the log."""
        data = self.log_path.read_bytes()[-_LOG_TAIL_BYTES:]
        return data.decode(errors="replace").strip() or "its log is empty"


async def _discard(stream: asyncio.StreamReader) -> None:
    while await stream.read(65_536):
        pass
