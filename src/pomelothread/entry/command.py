"""The console command `pomelothread-entry`."""

from ..clock import Clock
from ..peers.command import run_command
from ..settings import EntrySettings, load_entry_settings
from .process import Entry


def main() -> None:
    """Run the command and exit with its code."""
    run_command("entry", load_entry_settings, _run)


async def _run(settings: EntrySettings, clock: Clock) -> int:
    return await Entry(settings, clock).run()


if __name__ == "__main__":
    main()
