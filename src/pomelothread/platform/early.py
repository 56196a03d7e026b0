"""Opens the port for callers before the rest of the program is imported.

The imports take 0.3 s. Callers that connect during this time wait in the kernel's
accept queue instead of being refused.
"""

import os
import socket
import sys
import tomllib

SETTINGS_VARIABLE = "POMELOTHREAD_SETTINGS"
SETTINGS_FLAG = "--settings="
# Connections that the kernel queues until they are accepted.
LISTEN_BACKLOG = 1_024


def find_settings_path(arguments: list[str]) -> str | None:
    """Return the settings path of the command line, else of the environment.

    Parameters
    ----------
    arguments : list of str
        Arguments of the command line.
    """
    for argument in arguments:
        if argument.startswith(SETTINGS_FLAG):
            return argument.removeprefix(SETTINGS_FLAG)
    return os.environ.get(SETTINGS_VARIABLE)


def open_callers_port(arguments: list[str] | None = None) -> socket.socket | None:
    """Open the listening socket for callers.

    Parameters
    ----------
    arguments : list of str or None
        Arguments of the command line; those of the process by default.

    Returns
    -------
    socket.socket or None
        None if this fails; checking the settings later reports the fault.
    """
    path = find_settings_path(sys.argv[1:] if arguments is None else arguments)
    if path is None:
        return None
    try:
        with open(path, "rb") as file:  # noqa: PTH123
            host, _, port = tomllib.load(file)["listen"]["front"].rpartition(":")
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, int(port)))
        listener.listen(LISTEN_BACKLOG)
    except (OSError, ValueError, KeyError, TypeError, AttributeError):
        return None
    return listener
