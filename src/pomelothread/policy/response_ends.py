"""Decides whether a response without framing was ended by its upstream.

Such a response ends with its connection, and the kernel closes the connections of a
process that is killed like those of one that has finished. Only what shows that the
process that wrote the response still lives proves that it has ended the response
itself. That something accepts connections at its address shows nothing: a proxy, a
parent that holds the listening socket, or the next process may do so.

Whether a process that lives has broken the response off is not decided here, but in
`early_ends`.
"""

from dataclasses import dataclass
from enum import Enum


class EndProof(Enum):
    """What proves that an upstream has ended a response without framing itself."""

    SAME_START = "the same start answers"
    WITNESS = "another connection has lasted"


class NoProof(Enum):
    """Why it is not proven that an upstream has ended a response itself."""

    OTHER_START = "another start answers"
    NO_ANSWER = "no answer"
    NOT_KNOWN = "no start is stated"


@dataclass(frozen=True, slots=True)
class Writer:
    """What is known of the process that has written a response.

    Parameters
    ----------
    start_ms : int or None
        Start that it has stated on the connection of the response, as a Unix time in
        milliseconds; None if it was not asked there or states none.
    earlier_starts_ms : frozenset of int
        Starts that were listed or stated at its address before the response ended.
    """

    start_ms: int | None
    earlier_starts_ms: frozenset[int]


@dataclass(frozen=True, slots=True)
class StartStated:
    """A process has stated its start after the response had ended."""

    start_ms: int


@dataclass(frozen=True, slots=True)
class NoStartStated:
    """A process has answered after the response had ended, without a start."""


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """No process has answered after the response had ended."""


@dataclass(frozen=True, slots=True)
class WitnessAnswered:
    """A connection has answered that had also answered before the response ended."""


Observation = StartStated | NoStartStated | NoAnswer | WitnessAnswered


def judge_end(writer: Writer, seen: Observation) -> EndProof | NoProof:
    """Return what proves that a response is whole, or why nothing does.

    One process at a time is taken to listen at an address, and to be the one that
    states the same start or holds the same connection before and after.

    Parameters
    ----------
    writer : Writer
        What is known of the process that has written the response.
    seen : Observation
        What was seen at its address after the response had ended.

    Examples
    --------
    >>> judge_end(Writer(None, frozenset({5})), StartStated(5))
    <EndProof.SAME_START: 'the same start answers'>
    >>> judge_end(Writer(6, frozenset({5})), StartStated(5))
    <NoProof.OTHER_START: 'another start answers'>
    """
    match seen:
        case WitnessAnswered():
            return EndProof.WITNESS
        case StartStated(start_ms):
            is_same = (
                start_ms in writer.earlier_starts_ms
                if writer.start_ms is None
                else start_ms == writer.start_ms
            )
            return EndProof.SAME_START if is_same else NoProof.OTHER_START
        case NoStartStated():
            return NoProof.NOT_KNOWN
        case NoAnswer():
            return NoProof.NO_ANSWER
