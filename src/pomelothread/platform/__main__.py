"""Starts a gateway on the platform: the port first, then the program."""

from .early import open_callers_port


def main() -> None:
    """Run the command and exit with its code."""
    listener = open_callers_port()
    # Loaded here, since callers already wait at the port.
    from .command import run

    run(listener)


if __name__ == "__main__":
    main()
