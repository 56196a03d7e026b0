"""The console command `pomelothread-agent`."""

from ..clock import Clock
from ..peers.command import run_command
from ..settings import AgentSettings, load_agent_settings
from .process import Agent


def main() -> None:
    """Run the command and exit with its code."""
    run_command("agent", load_agent_settings, _run)


async def _run(settings: AgentSettings, clock: Clock) -> int:
    return await Agent(settings, clock).run()


if __name__ == "__main__":
    main()
