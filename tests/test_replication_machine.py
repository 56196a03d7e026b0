"""Replicas that read at different times never revert and agree in the end."""

from typing import Any
from unittest.mock import patch

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    consumes,
    invariant,
    rule,
)
from sheet_records import carried, placed, publication, sheet

from pomelothread.log.records import LogBatch
from pomelothread.operators import publications
from pomelothread.operators.replication import SheetReplica
from pomelothread.operators.sheet import Sheet

SHARES = st.dictionaries(st.sampled_from("abcd"), st.integers(1, 3), max_size=4)


class SheetMachine(RuleBasedStateMachine):
    """Operators race, records are repeated and late, retention deletes them.

    The model is independent of the fold: it judges each record when its last
    part is appended, with all of the history at hand.
    """

    drafts = Bundle("drafts")
    replicas = Bundle("replicas")

    def __init__(self) -> None:
        super().__init__()
        # Most records take several parts, which other records come between.
        self.patch = patch.object(publications, "MAX_PART_BYTES", 60)
        self.patch.start()
        self.values: list[Any] = []
        self.first_offset = 0
        self.in_force = Sheet()
        self.history = [self.in_force]
        self.n_drafts = 0
        self.reference = SheetReplica()
        self.all_replicas: list[SheetReplica] = []
        self.versions_seen: dict[int, int] = {}

    def teardown(self) -> None:
        try:
            self.check_agreement()
        finally:
            self.patch.stop()

    def append(self, value: Any) -> None:
        self.values.append(value)
        self.read(self.reference, len(self.values))

    def read(self, replica: SheetReplica, end: int) -> None:
        begin = max(replica.next_offset, self.first_offset)
        end = max(begin, min(end, len(self.values)))
        records = placed(*self.values[begin:end], first_offset=begin)
        n_expired = begin - replica.next_offset
        replica.apply_batch(LogBatch(tuple(records), end, n_expired))

    def append_publication(self, draft: tuple[Sheet, Sheet, list[Any]]) -> None:
        base, new, parts = draft
        for part in parts:
            self.append(part)
        if base == self.in_force:
            self.in_force = new
            self.history.append(new)

    @rule(target=drafts, version=st.integers(0, 50), shares=SHARES)
    def operator_makes_a_sheet(self, version: int, shares: dict[str, int]) -> Any:
        base = self.history[-1 - version % min(3, len(self.history))]
        new = sheet(base.version + 1, **shares)
        self.n_drafts += 1
        return base, new, publication(base, new, f"operator-{self.n_drafts}")

    @rule(draft=drafts)
    def operator_publishes(self, draft: Any) -> None:
        # Drafts stay in the bundle: the same record can arrive again, late.
        self.append_publication(draft)

    @rule(first=drafts, second=consumes(drafts))
    def two_operators_publish_at_once(self, first: Any, second: Any) -> None:
        # The second one's record lies between the parts of the first one's.
        base, new, parts = first
        if first is second:
            return
        if len(parts) == 1:
            self.append_publication(second)
            self.append_publication(first)
            return
        self.append(parts[0])
        self.append_publication(second)
        for part in parts[1:]:
            self.append(part)
        if base == self.in_force:
            self.in_force = new
            self.history.append(new)

    @rule(draft=drafts)
    def operator_dies_between_parts(self, draft: Any) -> None:
        for part in draft[2][:-1]:
            self.append(part)

    @rule(draft=drafts, n_between=st.integers(0, 1))
    def node_carries_forward(self, draft: Any, n_between: int) -> None:
        if self.in_force.version == 0:
            return
        record = self.reference.carry_forward("carry", "node", sheet_time())
        parts = publications.encode_record(record)
        for _ in range(n_between):
            self.append_publication(draft)
        for part in parts:
            self.append(part)

    @rule(target=replicas)
    def process_starts(self) -> SheetReplica:
        replica = SheetReplica()
        self.all_replicas.append(replica)
        return replica

    @rule(replica=replicas, n_records=st.integers(1, 8))
    def process_reads(self, replica: SheetReplica, n_records: int) -> None:
        self.read(replica, replica.next_offset + n_records)

    @rule(replica=replicas)
    def process_reads_to_the_end(self, replica: SheetReplica) -> None:
        self.read(replica, len(self.values))

    @rule(replica=replicas, peer=replicas)
    def process_asks_a_peer(self, replica: SheetReplica, peer: SheetReplica) -> None:
        replica.adopt(peer.snapshot())

    @rule(n_records=st.integers(1, 12))
    def retention_passes(self, n_records: int) -> None:
        self.first_offset = min(self.first_offset + n_records, len(self.values))

    @invariant()
    def nothing_reverts_and_nothing_is_made_up(self) -> None:
        for replica in self.all_replicas:
            seen = self.versions_seen.get(id(replica), 0)
            held = replica.sheet
            assert held.version >= seen
            assert held == self.history[held.version]
            self.versions_seen[id(replica)] = held.version
            if replica.is_anchored and replica.next_offset == len(self.values):
                assert held == self.in_force

    def check_agreement(self) -> None:
        assert self.reference.sheet == self.in_force
        if self.in_force.version:
            for part in carried(self.in_force, len(self.values)):
                self.append(part)
        for replica in [*self.all_replicas, SheetReplica()]:
            self.read(replica, len(self.values))
            assert replica.sheet == self.in_force


def sheet_time() -> Any:
    return placed({})[0].appended_at


TestSheetMachine = SheetMachine.TestCase
TestSheetMachine.settings = settings(
    max_examples=150, stateful_step_count=40, derandomize=True, deadline=None
)
