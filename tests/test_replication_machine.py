"""Model-based tests: replicas never return to an older version and converge."""

from random import Random
from typing import Any
from unittest.mock import patch

import hypothesis.strategies as st
import pytest
from hypothesis import settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)
from sheet_records import carry_forward_values, log_records, publication, sheet

from pomelothread.log.records import LogBatch
from pomelothread.operators import publications
from pomelothread.operators.replication import SheetReplica
from pomelothread.operators.sheet import Sheet

SHARES_STRATEGY = st.dictionaries(
    st.sampled_from("abcd"), st.integers(1, 3), max_size=4
)
N_REPLICAS = 3
N_RANDOM_WALKS = 60
REPLICA_INDEX = st.integers(0, N_REPLICAS - 1)
DRAFT_AGE = st.integers(0, 9)


class SheetMachine(RuleBasedStateMachine):
    """State machine of operators, nodes, replicas and a log with retention.

    Operators race, and records are repeated, late or deleted by retention. The
    model is independent of the replica: it decides on each record when its last
    part is appended, with the whole history at hand.
    """

    def __init__(self) -> None:
        super().__init__()
        # Most records take several parts, so that other records come between them.
        self.patch = patch.object(publications, "MAX_PART_BYTES", 60)
        self.patch.start()
        self.values: list[Any] = []
        self.first_offset = 0
        self.in_force = Sheet()
        self.history = [self.in_force]
        self.drafts: list[Any] = []
        self.reference = SheetReplica()
        self.replicas = [SheetReplica() for _ in range(N_REPLICAS)]
        self.versions_seen = [0] * N_REPLICAS

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
        records = log_records(*self.values[begin:end], first_offset=begin)
        n_expired = begin - replica.next_offset
        replica.apply_batch(LogBatch(tuple(records), end, n_expired))

    def append_publication(self, draft: tuple[Sheet, Sheet, list[Any]]) -> None:
        base, new, parts = draft
        for part in parts:
            self.append(part)
        if base == self.in_force:
            self.in_force = new
            self.history.append(new)

    def recent_draft(self, back: int) -> Any:
        return self.drafts[max(0, len(self.drafts) - 1 - back)]

    def draft(self, age: int, shares: dict[str, int]) -> Any:
        base = self.history[max(0, len(self.history) - 1 - age)]
        new = sheet(base.version + 1, **shares)
        operator = f"operator-{len(self.drafts)}"
        self.drafts.append((base, new, publication(base, new, operator)))
        return self.drafts[-1]

    @initialize(shares=SHARES_STRATEGY)
    def first_sheet(self, shares: dict[str, int]) -> None:
        # Start with some history, so that replicas differ from the first step on.
        for _ in range(3):
            self.append_publication(self.draft(0, shares))
        for i, replica in enumerate(self.replicas):
            self.read(replica, i * len(self.values) // N_REPLICAS)

    @rule(age=st.integers(0, 2), shares=SHARES_STRATEGY)
    def operator_makes_a_sheet(self, age: int, shares: dict[str, int]) -> None:
        self.draft(age, shares)

    @rule(shares=SHARES_STRATEGY)
    def operator_makes_and_publishes(self, shares: dict[str, int]) -> None:
        self.append_publication(self.draft(0, shares))

    @rule(back=DRAFT_AGE)
    def operator_publishes(self, back: int) -> None:
        # If the draft was published before, its record is appended again.
        self.append_publication(self.recent_draft(back))

    @rule(back=DRAFT_AGE, shares=SHARES_STRATEGY)
    def two_operators_publish_at_once(self, back: int, shares: dict[str, int]) -> None:
        # The second operator's record lies between the parts of the first one's.
        second = self.recent_draft(back)
        first = self.draft(0, shares)
        base, new, parts = first
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

    @rule(back=DRAFT_AGE)
    def operator_dies_between_parts(self, back: int) -> None:
        for part in self.recent_draft(back)[2][:-1]:
            self.append(part)

    @rule(back=DRAFT_AGE, n_between=st.integers(0, 2))
    def node_carries_forward(self, back: int, n_between: int) -> None:
        record = self.reference.carry_forward("carry", "node", first_append_time())
        parts = publications.encode_record(record)
        for index in range(n_between):
            self.append_publication(self.recent_draft(back + index))
        for part in parts:
            self.append(part)

    @rule(i=REPLICA_INDEX)
    def process_restarts(self, i: int) -> None:
        self.replicas[i] = SheetReplica()
        self.versions_seen[i] = 0

    @rule(i=REPLICA_INDEX, n_records=st.integers(1, 30))
    def process_reads(self, i: int, n_records: int) -> None:
        self.read(self.replicas[i], self.replicas[i].next_offset + n_records)

    @rule(i=REPLICA_INDEX)
    def process_reads_to_the_end(self, i: int) -> None:
        self.read(self.replicas[i], len(self.values))

    @rule(i=REPLICA_INDEX, peer=REPLICA_INDEX)
    def process_asks_a_peer(self, i: int, peer: int) -> None:
        self.replicas[i].adopt(self.replicas[peer].snapshot())

    @rule(n_records=st.integers(1, 12))
    def retention_passes(self, n_records: int) -> None:
        self.first_offset = min(self.first_offset + n_records, len(self.values))

    @invariant()
    def versions_never_decrease_and_sheets_match_the_history(self) -> None:
        for i, replica in enumerate(self.replicas):
            held = replica.sheet
            assert held.version >= self.versions_seen[i]
            assert held == self.history[held.version]
            self.versions_seen[i] = held.version
            if replica.is_anchored and replica.next_offset == len(self.values):
                assert held == self.in_force

    def check_agreement(self) -> None:
        assert self.reference.sheet == self.in_force
        if self.in_force.version:
            for part in carry_forward_values(self.in_force, len(self.values)):
                self.append(part)
        for replica in [*self.replicas, SheetReplica()]:
            self.read(replica, len(self.values))
            assert replica.sheet == self.in_force


def random_walk(random: Random, n_steps: int) -> None:
    """Run random steps of the machine without the overhead of Hypothesis."""
    machine = SheetMachine()

    def shares() -> dict[str, int]:
        return {name: random.randint(1, 3) for name in "abcd" if random.random() < 0.5}

    def i() -> int:
        return random.randrange(N_REPLICAS)

    def back() -> int:
        return random.randrange(6)

    steps = [
        lambda: machine.operator_makes_a_sheet(random.randrange(3), shares()),
        lambda: machine.operator_makes_and_publishes(shares()),
        lambda: machine.operator_publishes(back()),
        lambda: machine.two_operators_publish_at_once(back(), shares()),
        lambda: machine.operator_dies_between_parts(back()),
        lambda: machine.node_carries_forward(back(), random.randrange(3)),
        lambda: machine.process_restarts(i()),
        lambda: machine.process_reads(i(), random.randint(1, 12)),
        lambda: machine.process_reads_to_the_end(i()),
        lambda: machine.process_asks_a_peer(i(), i()),
        lambda: machine.retention_passes(random.randint(1, 12)),
    ]
    machine.first_sheet(shares())
    try:
        for _ in range(n_steps):
            random.choice(steps)()
            machine.versions_never_decrease_and_sheets_match_the_history()
    finally:
        machine.teardown()


@pytest.mark.parametrize("seed", range(N_RANDOM_WALKS))
def test_replicas_converge_without_reverting_in_random_walks(seed: int):
    random_walk(Random(seed), n_steps=120)


def first_append_time() -> Any:
    return log_records({})[0].appended_at


TestSheetMachine = SheetMachine.TestCase
TestSheetMachine.settings = settings(
    max_examples=60, stateful_step_count=40, derandomize=True, deadline=None
)
