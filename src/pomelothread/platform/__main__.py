"""Starts a gateway: opens the port for callers, then imports the program."""

from .early import find_settings_path, open_callers_port


def main() -> None:
    """Run the command and exit with its code."""
    listener = open_callers_port()
    # Imported after the port is open, so that callers can connect meanwhile.
    from ..gateway.command import Platform, run
    from .boot import load_settings
    from .link import make_adapter

    run(Platform(find_settings_path, load_settings, make_adapter), listener)


if __name__ == "__main__":
    main()
