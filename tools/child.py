"""Runs a module as the main program of a process that ends with its parent.

``python -m child PARENT_PID MODULE ARGUMENT...``. The child itself requests the
signal at its parent's end: a ``preexec_fn``, which runs between fork and exec,
deadlocked when another thread of the parent held a lock during the fork.
"""

import ctypes
import os
import runpy
import signal
import sys

_PR_SET_PDEATHSIG = 1


def main(argv: list[str]) -> None:
    """Request a SIGKILL at the parent's end, then run the module.

    Parameters
    ----------
    argv : list of str
        Name of the program, process id of the parent, module and arguments.
    """
    ctypes.CDLL(None).prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)
    if os.getppid() != int(argv[1]):
        sys.exit("the parent process has already ended")
    module = argv[2]
    sys.argv = argv[2:]
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main(sys.argv)
