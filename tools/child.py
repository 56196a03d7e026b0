"""Runs a module as the main program, and ends when its parent does.

``python -m child PARENT_PID MODULE ARGUMENT...``. The kernel is asked by the
child itself: a function that Python runs between fork and exec deadlocked when
another thread of the parent held a lock during the fork.
"""

import ctypes
import os
import runpy
import signal
import sys

_PR_SET_PDEATHSIG = 1


def main(argv: list[str]) -> None:
    """Ask for a SIGKILL at the parent's end, then run the module.

    Parameters
    ----------
    argv : list of str
        Name of the program, process id of the parent, module and arguments.
    """
    ctypes.CDLL(None).prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)
    if os.getppid() != int(argv[1]):
        sys.exit("the parent has ended already")
    module = argv[2]
    sys.argv = argv[2:]
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main(sys.argv)
