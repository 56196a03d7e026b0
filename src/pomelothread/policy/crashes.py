"""Tracks which requests are suspected of, or convicted of, crashing engines.

A suspect may run, but only alone. A convicted request is refused.
"""

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Any

CRASH_TOPIC = "crashes"
RECORD_FORMAT = 1

# A crash adds about 100 suspects, one for each request of the batch, and some 9
# instances fail on an ordinary day.
MAX_SUSPECTS = 10_000
MAX_EVENTS = 10_000
# Seconds for which a peer's report stays valid after its last heartbeat.
# Heartbeats are sent every 0.5 s; reports have to survive a restart of the peer.
PEER_REPORT_LIFE_S = 60.0


@dataclass(frozen=True, slots=True)
class CrashAssessment:
    """Consequences of an engine crash.

    Parameters
    ----------
    suspects : tuple of str
        Fingerprints of requests that must run alone from now on.
    convicted : tuple of str
        Fingerprints of requests that must not run any more; at most one.
    record : dict or None
        Record to append to `CRASH_TOPIC`; None if no request was running.
    """

    suspects: tuple[str, ...]
    convicted: tuple[str, ...]
    record: dict[str, Any] | None


class CrashTracker:
    """Suspects and convicted requests, identified by fingerprints of their bodies.

    All requests that were running when an engine crashed become suspects and have
    to run alone. A suspect is convicted if the engine crashes while running it
    alone, and cleared if it completes alone. This clears the requests that were
    only in the same batch as the cause.

    State comes from three sources: events of this process, records of the log
    (`apply_record`), and heartbeats of peers (`observe_peer`), which replace the log
    while it is unavailable. Events of this process are applied immediately.
    `apply_record` is idempotent, so reading them back from the log changes nothing.

    Examples
    --------
    >>> tracker = CrashTracker("agent-1")
    >>> tracker.record_engine_crash(["a", "b"], now_s=0.0).suspects
    ('a', 'b')
    >>> tracker.must_run_alone("a"), tracker.is_convicted("a")
    (True, False)
    >>> _ = tracker.record_finished("b", alone=True)
    >>> tracker.record_engine_crash(["a"], now_s=9.0).convicted
    ('a',)
    >>> tracker.is_convicted("a"), tracker.must_run_alone("b")
    (True, False)
    """

    __slots__ = (
        "_convicted",
        "_events",
        "_incarnation",
        "_n_events",
        "_peer_convicted",
        "_peer_suspects",
        "_releases",
        "_suspects",
    )

    def __init__(self, incarnation: str) -> None:
        self._incarnation = incarnation
        self._n_events = 0
        self._events: OrderedDict[str, None] = OrderedDict()
        self._suspects: OrderedDict[str, None] = OrderedDict()
        self._convicted: set[str] = set()
        self._releases: dict[str, int] = {}
        self._peer_suspects: dict[str, float] = {}
        self._peer_convicted: dict[str, float] = {}

    @property
    def suspects(self) -> tuple[str, ...]:
        """Suspects known from own events and the log, for the heartbeat.

        Suspects that were only reported by peers are not included.
        """
        return tuple(self._suspects)

    @property
    def convicted(self) -> tuple[str, ...]:
        """Convicted requests known from own events and the log, for the heartbeat.

        Those that were only reported by peers are not included.
        """
        return tuple(sorted(self._convicted))

    def record_engine_crash(
        self, running: Sequence[str], now_s: float
    ) -> CrashAssessment:
        """Record a crash of this agent's engine.

        Parameters
        ----------
        running : sequence of str
            Fingerprints of the requests that were running, one for each request.
        now_s : float
            Monotonic time in seconds; written into the record for diagnosis.

        Returns
        -------
        CrashAssessment
            New suspects or a conviction, and the record for the log.
        """
        if not running:
            return CrashAssessment((), (), None)
        alone = len(running) == 1
        fingerprints = tuple(dict.fromkeys(running))
        convicts = alone and self.must_run_alone(fingerprints[0])
        record = self._record(
            "crash", fingerprints, convicts=convicts, monotonic_s=round(now_s, 3)
        )
        self.apply_record(record)
        if convicts:
            return CrashAssessment((), fingerprints, record)
        return CrashAssessment(fingerprints, (), record)

    def record_finished(self, fingerprint: str, alone: bool) -> dict[str, Any] | None:
        """Record that a request has completed.

        Parameters
        ----------
        fingerprint : str
            Fingerprint of its body.
        alone : bool
            Whether no other request ran at any time during its run.

        Returns
        -------
        dict or None
            Record to append to `CRASH_TOPIC` if a suspect was cleared.
        """
        if not alone or not self.must_run_alone(fingerprint):
            return None
        record = self._record("cleared", (fingerprint,))
        self.apply_record(record)
        return record

    def release(self, fingerprint: str, sheet_version: int) -> dict[str, Any] | None:
        """Apply a `release` row that a new version of the sheet has added.

        The release is also recorded in the log, because a process that starts
        later cannot tell from the sheet whether a crash in the log happened before
        or after the release.

        Parameters
        ----------
        fingerprint : str
            Fingerprint of the body that may run again.
        sheet_version : int
            Version of the sheet that added the row.

        Returns
        -------
        dict or None
            Record to append to `CRASH_TOPIC`; None if the release was already
            applied.
        """
        if self._releases.get(fingerprint, -1) >= sheet_version:
            return None
        record = self._record("released", (fingerprint,), sheet_version=sheet_version)
        self.apply_record(record)
        return record

    def must_run_alone(self, fingerprint: str) -> bool:
        """Return whether the request is a suspect."""
        if self.is_convicted(fingerprint):
            return False
        return fingerprint in self._suspects or fingerprint in self._peer_suspects

    def is_convicted(self, fingerprint: str) -> bool:
        """Return whether the request must be refused."""
        return fingerprint in self._convicted or fingerprint in self._peer_convicted

    def apply_record(self, record: dict[str, Any]) -> bool:
        """Apply a record of `CRASH_TOPIC`; call it in the order of offsets.

        Parameters
        ----------
        record : dict
            Decoded record.

        Returns
        -------
        bool
            False if the record was ignored as malformed or of a newer format.
        """
        match record:
            case {
                "format": int(record_format),
                "kind": str(),
                "event": str(event),
                "fingerprints": list(fingerprints),
            } if record_format <= RECORD_FORMAT:
                pass
            case _:
                return False
        if event in self._events:
            return True
        self._events[event] = None
        if len(self._events) > MAX_EVENTS:
            self._events.popitem(last=False)
        match record:
            case {"kind": "crash", "convicts": True}:
                self._convict(fingerprints)
            case {"kind": "crash"}:
                self._suspect(fingerprints)
            case {"kind": "cleared"}:
                self._clear(fingerprints)
            case {"kind": "released", "sheet_version": int(version)}:
                self._apply_release(fingerprints, version)
            case _:
                return False
        return True

    def observe_peer(
        self,
        suspects: Iterable[str],
        convicted: Iterable[str],
        sheet_version: int,
        now_s: float,
    ) -> None:
        """Record the suspects and convicted requests of a peer's heartbeat.

        Parameters
        ----------
        suspects, convicted : iterable of str
            Fingerprints that the peer reports.
        sheet_version : int
            Sheet version that the peer has in force. Reports on requests that a
            later version has released are ignored.
        now_s : float
            Monotonic time in seconds. A report is forgotten `PEER_REPORT_LIFE_S`
            after the last heartbeat that contained it.
        """
        for reports, fingerprints in (
            (self._peer_suspects, suspects),
            (self._peer_convicted, convicted),
        ):
            for fingerprint in [
                f for f, until_s in reports.items() if until_s <= now_s
            ]:
                del reports[fingerprint]
            for fingerprint in fingerprints:
                if self._releases.get(fingerprint, -1) <= sheet_version:
                    reports[fingerprint] = now_s + PEER_REPORT_LIFE_S

    def _record(
        self, kind: str, fingerprints: Sequence[str], **fields: Any
    ) -> dict[str, Any]:
        """Build a record with an event identifier that is unique in the fleet."""
        self._n_events += 1
        return {
            "format": RECORD_FORMAT,
            "kind": kind,
            "event": f"{self._incarnation}/{self._n_events}",
            "fingerprints": list(fingerprints),
            **fields,
        }

    def _suspect(self, fingerprints: Iterable[str]) -> None:
        for fingerprint in fingerprints:
            if fingerprint in self._convicted:
                continue
            self._suspects[fingerprint] = None
            self._suspects.move_to_end(fingerprint)
        while len(self._suspects) > MAX_SUSPECTS:
            self._suspects.popitem(last=False)

    def _convict(self, fingerprints: Iterable[str]) -> None:
        for fingerprint in fingerprints:
            self._suspects.pop(fingerprint, None)
            self._convicted.add(fingerprint)

    def _clear(self, fingerprints: Iterable[str]) -> None:
        for fingerprint in fingerprints:
            self._suspects.pop(fingerprint, None)
            self._peer_suspects.pop(fingerprint, None)

    def _apply_release(self, fingerprints: Iterable[str], version: int) -> None:
        """Clear suspicions and convictions that precede a release.

        Every process that reads the sheet row may write a release record. Only the
        first record of a version is applied, because crashes that happened after
        the release may stand in the log before the later ones.
        """
        for fingerprint in fingerprints:
            if self._releases.get(fingerprint, -1) >= version:
                continue
            self._releases[fingerprint] = version
            self._clear((fingerprint,))
            self._convicted.discard(fingerprint)
            self._peer_convicted.pop(fingerprint, None)
