"""The console command `pomelothread-sheet` to check and publish a sheet."""

import asyncio
import getpass
import sys
import uuid
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import TypeVar

from absl import flags
from returns.result import Failure, Result, Success

from .. import __version__
from ..clock import SystemClock
from ..log.client import HttpLogClient
from ..log.records import LogClient
from .digests import COLLECTIONS
from .nodes import NodeResult, NodeStatus, fetch_statuses
from .planning import parse_sheet
from .publishing import (
    LostRace,
    NothingToPublish,
    NotPublished,
    Published,
    PublishOutcome,
    PublishRequest,
    ResultNotKnown,
    TopicReader,
    WrongBase,
    publish_sheet,
)
from .sheet import Sheet

_T = TypeVar("_T")

EXIT_DONE = 0
EXIT_FAILED = 1
EXIT_USAGE_ERROR = 2
EXIT_NOT_KNOWN = 3

USAGE = """\
pomelothread-sheet checks a planning sheet, publishes it and shows where it is
in force.

usage:
  pomelothread-sheet check FILE
  pomelothread-sheet publish FILE --log=ADDRESS --base=N [--operator=NAME]
  pomelothread-sheet status [--log=ADDRESS] [--nodes=IP:PORT,...]

flags:
  --log=ADDRESS    ip:port of the platform's log
  --base=N         version that the sheet was made from; 0 for the first sheet
  --operator=NAME  who publishes; your login name if not given
  --nodes=LIST     HTTP addresses of entries and agents, separated by commas
  --wait_s=S       how long to wait for a result or an answer (10)
  --restart        publish although the log has deleted the sheet in force and
                   no process is running that could append it again
  --version        print the version and exit

exit codes:
  0  done; for status: every node holds the version in force
  1  the sheet was not published, or lost a race; for status: a node does not
     hold the version in force or did not answer, or the log did not answer
  2  wrong usage, or faults in the file
  3  it is not known whether the sheet was published; see status

examples:
  pomelothread-sheet check sheet.csv
  pomelothread-sheet publish sheet.csv --log=10.0.0.9:8082 --base=41
  pomelothread-sheet status --log=10.0.0.9:8082 --nodes=10.0.1.4:8080,10.0.1.5:8080
"""


def _define_flags() -> flags.FlagValues:
    # absl's global flags would collide with those of the other programs of this
    # package when two of them are imported into one process.
    values = flags.FlagValues()
    flags.DEFINE_string("log", None, "log address", flag_values=values)
    flags.DEFINE_integer(
        "base", None, "base version", lower_bound=0, flag_values=values
    )
    flags.DEFINE_string("operator", None, "operator", flag_values=values)
    flags.DEFINE_list("nodes", [], "node addresses", flag_values=values)
    flags.DEFINE_float(
        "wait_s", 10.0, "seconds to wait", lower_bound=0, flag_values=values
    )
    flags.DEFINE_bool("restart", False, "restart", flag_values=values)
    flags.DEFINE_bool("help", False, "show help", short_name="h", flag_values=values)
    flags.DEFINE_bool("version", False, "show the version", flag_values=values)
    return values


def main(argv: Sequence[str] | None = None) -> int:
    """Run the command.

    Parameters
    ----------
    argv : sequence of str, optional
        Arguments, the program's name first; `sys.argv` if None.

    Returns
    -------
    int
        Exit code.
    """
    values = _define_flags()
    try:
        _, *arguments = values(list(sys.argv if argv is None else argv))
    except flags.Error as error:
        return _usage_error(str(error))
    if values.version:
        print(f"pomelothread-sheet {__version__}")
        return EXIT_DONE
    if values.help:
        print(USAGE, end="")
        return EXIT_DONE
    match arguments:
        case ["check", path]:
            return _check(path)
        case ["publish", path]:
            return _publish(path, values)
        case ["status"]:
            return _status(values)
        case ["check" | "publish" as action, *rest]:
            return _usage_error(f"{action} takes one file, given {len(rest)}")
        case ["status", *rest]:
            return _usage_error(f"status takes no file, given {' '.join(rest)}")
        case [other, *_]:
            return _usage_error(f'"{other}" is not check, publish or status')
    return _usage_error("missing command: check, publish or status")


def _usage_error(detail: str) -> int:
    print(f"{detail}\nSee pomelothread-sheet --help.", file=sys.stderr)
    return EXIT_USAGE_ERROR


def _read_sheet(path: str) -> Result[Sheet, str]:
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        return Failure(f"{path} cannot be read: {error.strerror}")
    match parse_sheet(data):
        case Success(sheet):
            return Success(sheet)
        case Failure(faults):
            lines = "\n".join(str(fault) for fault in faults)
            noun = "fault" if len(faults) == 1 else "faults"
            return Failure(f"{lines}\n{path}: {len(faults)} {noun}; nothing was used")
    raise AssertionError("a Result is a Success or a Failure")


def _count_rows(sheet: Sheet) -> str:
    return ", ".join(f"{c}: {len(getattr(sheet, c))}" for c in COLLECTIONS)


def _check(path: str) -> int:
    match _read_sheet(path):
        case Success(sheet):
            print(f"{path}: no faults ({_count_rows(sheet)})")
            return EXIT_DONE
        case Failure(text):
            print(text, file=sys.stderr)
    return EXIT_USAGE_ERROR


def _publish(path: str, values: flags.FlagValues) -> int:
    if values.log is None:
        return _usage_error("publish needs --log=ADDRESS, the ip:port of the log")
    if values.base is None:
        return _usage_error(
            "publish needs --base=N, the version that the sheet was made from; "
            "status shows the version in force"
        )
    match _read_sheet(path):
        case Failure(text):
            print(text, file=sys.stderr)
            return EXIT_USAGE_ERROR
        case Success(sheet):
            pass
    request = PublishRequest(
        sheet,
        values.base,
        values.operator or getpass.getuser(),
        uuid.uuid4().hex,
        values.wait_s,
        values.restart,
    )
    clock = SystemClock()
    outcome = _run_with_log(values.log, lambda log: publish_sheet(log, clock, request))
    code, text = describe_outcome(outcome)
    print(text, file=sys.stdout if code == EXIT_DONE else sys.stderr)
    return code


def _run_with_log(address: str, call: Callable[[LogClient], Awaitable[_T]]) -> _T:
    async def run() -> _T:
        log = HttpLogClient(address)
        try:
            return await call(log)
        finally:
            log.close()

    return asyncio.run(run())


def describe_outcome(outcome: PublishOutcome) -> tuple[int, str]:
    """Describe the outcome of a publication.

    Parameters
    ----------
    outcome : PublishOutcome
        As returned by `publish_sheet`.

    Returns
    -------
    tuple of (int, str)
        Exit code and text for the operator.

    Examples
    --------
    >>> describe_outcome(NothingToPublish(41))
    (0, 'nothing to publish: version 41 in force has the same rows')
    """
    match outcome:
        case Published(version, digest, offset, n_put, n_removed, superseded_by):
            text = (
                f"published: version {version} is in force from offset {offset} "
                f"(rows added or changed: {n_put}, removed: {n_removed}, "
                f"digest {digest})"
            )
            if superseded_by:
                text += f"; version {superseded_by} has replaced it since"
            return EXIT_DONE, text
        case NothingToPublish(version):
            return EXIT_DONE, (
                f"nothing to publish: version {version} in force has the same rows"
            )
        case WrongBase(base, in_force):
            return EXIT_FAILED, (
                f"not published: the sheet was made from version {base}, but version "
                f"{in_force} is in force. Make your changes in a sheet of version "
                f"{in_force} and publish it with --base={in_force}"
            )
        case LostRace(version, winner, offset):
            return EXIT_FAILED, (
                f"not published: {winner or 'another process'} published version "
                f"{version} first, at offset {offset}. Make your changes in a sheet "
                f"of version {version} and publish it with --base={version}"
            )
        case NotPublished(detail):
            return EXIT_FAILED, f"not published: {detail}"
        case ResultNotKnown(publication, detail):
            return EXIT_NOT_KNOWN, (
                f"not known: {detail}. It may still take effect. Do not edit the "
                "sheet; publish the same file again later. This publishes nothing "
                f"if the sheet is in force by then (publication {publication})"
            )


def _status(values: flags.FlagValues) -> int:
    if values.log is None and not values.nodes:
        return _usage_error("status needs --log=ADDRESS or --nodes=IP:PORT,...")
    lines: list[str] = []
    code = EXIT_DONE
    in_force: Sheet | None = None
    if values.log is not None:
        match _run_with_log(values.log, _read_in_force):
            case Success(sheet):
                in_force = sheet
                lines.append(f"log: version {sheet.version}, digest {sheet.digest}")
            case Failure(detail):
                lines.append(f"log: {detail}")
                code = EXIT_FAILED
    results = asyncio.run(fetch_statuses(values.nodes, values.wait_s))
    if in_force is None:
        in_force = _newest_sheet(results)
    for node_result in results:
        line, is_current = _describe_result(node_result, in_force)
        lines.append(line)
        code = code if is_current else EXIT_FAILED
    print("\n".join(lines))
    return code


async def _read_in_force(log: LogClient) -> Result[Sheet, str]:
    reader = TopicReader(log)
    match await reader.read_to_end():
        case Failure(failure):
            return Failure(f"cannot be read: {failure.detail}")
    if not reader.replica.is_anchored:
        return Failure("the records of the sheet in force have been deleted")
    return Success(reader.replica.sheet)


def _newest_sheet(results: Sequence[NodeResult]) -> Sheet:
    """Return the newest sheet of all nodes, to compare with if no log is given."""
    statuses = [r.status.unwrap() for r in results if isinstance(r.status, Success)]
    newest = max(statuses, key=lambda s: s.sheet_version, default=None)
    if newest is None:
        return Sheet()
    return Sheet(version=newest.sheet_version, digest=newest.sheet_digest)


def _describe_result(result: NodeResult, in_force: Sheet) -> tuple[str, bool]:
    match result.status:
        case Success(NodeStatus() as status):
            reported = (status.sheet_version, status.sheet_digest)
            is_current = reported == (in_force.version, in_force.digest)
            remark = "" if is_current else f", not version {in_force.version}"
            text = (
                f"{result.address}: {status.role} {status.instance} is {status.state}, "
                f"version {status.sheet_version}{remark}"
            )
            return text, is_current
        case Failure(detail):
            return f"{result.address}: no status: {detail}", False
    raise AssertionError("a Result is a Success or a Failure")


if __name__ == "__main__":
    sys.exit(main())
