"""Starts a gateway: opens the port for callers, then imports the program."""

from .early import open_callers_port


def main() -> None:
    """Run the command and exit with its code."""
    listener = open_callers_port()
    # Imported after the port is open, so that callers can connect meanwhile.
    from .command import run

    run(listener)


if __name__ == "__main__":
    main()
