"""Performance model of an engine with continuous batching and a prefix cache.

Each step emits one token for every running sequence. The duration of a step is the
sum of a fixed time, a time for each running sequence, and a time for each prompt
token that it prefills. Sequences are admitted in order of arrival.
"""

import asyncio
from collections import OrderedDict, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from enum import Enum

from pomelothread.clock import Clock

from .text import BLOCK_TOKENS, block_hashes

# Maximum number of prompt tokens that one step prefills (chunked prefill), so that a
# long prompt does not stall the running sequences for seconds.
MAX_PREFILL_TOKENS = 2048


@dataclass(frozen=True, slots=True)
class ModelSettings:
    """Speed and size of an engine.

    Parameters
    ----------
    speed : float
        Divides every duration.
    max_batch : int
        Maximum number of sequences that run at the same time.
    step_s, step_s_per_sequence, prefill_s_per_token : float
        Cost of a step, of each running sequence in it, and of each prompt
        token that was not cached.
    n_blocks : int
        Size of the prefix cache, in blocks of 16 tokens.
    """

    speed: float = 1.0
    max_batch: int = 16
    step_s: float = 0.015
    step_s_per_sequence: float = 0.0006
    prefill_s_per_token: float = 0.0001
    n_blocks: int = 4096


@dataclass(frozen=True, slots=True)
class Stored:
    """Blocks that were added to the cache, in prefix order."""

    hashes: tuple[int, ...]
    parent: int | None
    tokens: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Removed:
    """Blocks that were evicted from the cache."""

    hashes: tuple[int, ...]


CacheChange = Stored | Removed


class SequenceEnd(Enum):
    """How a sequence ended."""

    COMPLETE = "complete"
    CANCELLED = "cancelled"


@dataclass(slots=True, eq=False)
class EngineSequence:
    """One request in the engine.

    `on_start` is called when the sequence is admitted to the batch, `on_token` with
    the position of each generated token.
    """

    tokens: Sequence[int]
    n_output: int
    on_token: Callable[[int], None]
    on_start: Callable[[], None]
    ended: asyncio.Future[SequenceEnd]
    hashes: list[int] = field(default_factory=list)
    n_cached: int = 0
    n_prefill_left: int = 0
    n_emitted: int = 0
    is_stalled: bool = False


class EngineModel:
    """Runs sequences with continuous batching.

    Parameters
    ----------
    settings : ModelSettings
        Speed and size.
    clock : Clock
        Clock that times the steps.
    slow_factor : callable
        Returns the current factor by which the engine is slowed.
    on_cache_changes : callable
        Receives the cache changes of a step.
    """

    def __init__(
        self,
        settings: ModelSettings,
        clock: Clock,
        slow_factor: Callable[[], float],
        on_cache_changes: Callable[[list[CacheChange]], None],
    ) -> None:
        self.settings = settings
        self._clock = clock
        self._slow_factor = slow_factor
        self._on_cache_changes = on_cache_changes
        self._cache: OrderedDict[int, None] = OrderedDict()
        self._wake = asyncio.Event()
        self.waiting: deque[EngineSequence] = deque()
        self.running: list[EngineSequence] = []
        self.n_prefill_computed = 0
        self.n_prefill_cached = 0
        self.n_generated = 0

    @property
    def cache_usage(self) -> float:
        """Share of the cache that running sequences occupy, from 0 to 1."""
        n_tokens = sum(len(item.tokens) + item.n_emitted for item in self.running)
        return min(1.0, n_tokens / (self.settings.n_blocks * BLOCK_TOKENS))

    def submit(
        self,
        tokens: Sequence[int],
        n_output: int,
        on_token: Callable[[int], None] = lambda position: None,
        on_start: Callable[[], None] = lambda: None,
    ) -> EngineSequence:
        """Queue a sequence; its `ended` future resolves when it ends."""
        future: asyncio.Future[SequenceEnd] = asyncio.get_running_loop().create_future()
        sequence = EngineSequence(tokens, n_output, on_token, on_start, future)
        sequence.hashes = block_hashes(tokens)
        self.waiting.append(sequence)
        self._wake.set()
        return sequence

    def cancel(self, sequence: EngineSequence) -> None:
        """Remove a sequence at once; its batch slot is free in the next step."""
        if sequence in self.running:
            self.running.remove(sequence)
        elif sequence in self.waiting:
            self.waiting.remove(sequence)
        if not sequence.ended.done():
            sequence.ended.set_result(SequenceEnd.CANCELLED)

    def clear_cache(self) -> None:
        """Empty the cache, as a restart of the engine does."""
        self._cache.clear()

    async def run(self) -> None:
        """Run steps until cancelled; idle while there is no sequence."""
        due_s = self._clock.monotonic_s()
        while True:
            if not self.running and not self.waiting:
                self._wake.clear()
                await self._wake.wait()
                due_s = self._clock.monotonic_s()
            self._admit()
            n_prefilled = self._prefill()
            due_s += self._step_duration_s(n_prefilled)
            # Each step is due relative to the previous one, so that the time spent
            # in this process does not slow down the modelled engine. Later
            # steps make up for at most 0.05 s of delay.
            await self._clock.sleep(max(0.0, due_s - self._clock.monotonic_s()))
            due_s = max(due_s, self._clock.monotonic_s() - 0.05)
            self._emit()

    def _step_duration_s(self, n_prefilled: int) -> float:
        settings = self.settings
        duration_s = (
            settings.step_s
            + settings.step_s_per_sequence * len(self.running)
            + settings.prefill_s_per_token * n_prefilled
        )
        return duration_s * self._slow_factor() / settings.speed

    def _admit(self) -> None:
        while self.waiting and len(self.running) < self.settings.max_batch:
            sequence = self.waiting.popleft()
            sequence.on_start()
            n_blocks_cached = self._n_blocks_cached(sequence.hashes)
            # The last prompt token is always computed: its logits give the first
            # output token.
            n_cached = min(n_blocks_cached * BLOCK_TOKENS, len(sequence.tokens) - 1)
            sequence.n_cached = max(0, n_cached)
            sequence.n_prefill_left = len(sequence.tokens) - sequence.n_cached
            self.n_prefill_cached += sequence.n_cached
            self.running.append(sequence)

    def _n_blocks_cached(self, hashes: list[int]) -> int:
        for position, block in enumerate(hashes):
            if block not in self._cache:
                return position
            self._cache.move_to_end(block)
        return len(hashes)

    def _prefill(self) -> int:
        """Spend the prefill budget of one step, in order of admission."""
        budget = MAX_PREFILL_TOKENS
        changes: list[CacheChange] = []
        for sequence in self.running:
            if not sequence.n_prefill_left or not budget:
                continue
            n_tokens = min(budget, sequence.n_prefill_left)
            sequence.n_prefill_left -= n_tokens
            budget -= n_tokens
            if not sequence.n_prefill_left:
                changes.extend(self._store(sequence))
        if changes:
            self._on_cache_changes(changes)
        n_prefilled = MAX_PREFILL_TOKENS - budget
        self.n_prefill_computed += n_prefilled
        return n_prefilled

    def _store(self, sequence: EngineSequence) -> list[CacheChange]:
        changes: list[CacheChange] = []
        n_known = self._n_blocks_cached(sequence.hashes)
        new = sequence.hashes[n_known:]
        if new:
            self._cache.update(dict.fromkeys(new))
            first, last = n_known * BLOCK_TOKENS, len(sequence.hashes) * BLOCK_TOKENS
            parent = sequence.hashes[n_known - 1] if n_known else None
            changes.append(
                Stored(tuple(new), parent, tuple(sequence.tokens[first:last]))
            )
        removed = []
        while len(self._cache) > self.settings.n_blocks:
            removed.append(self._cache.popitem(last=False)[0])
        if removed:
            changes.append(Removed(tuple(removed)))
        return changes

    def _emit(self) -> None:
        for sequence in list(self.running):
            if sequence.n_prefill_left or sequence.is_stalled:
                continue
            position = sequence.n_emitted
            sequence.n_emitted += 1
            self.n_generated += 1
            if sequence.n_emitted >= sequence.n_output:
                self.running.remove(sequence)
                if not sequence.ended.done():
                    sequence.ended.set_result(SequenceEnd.COMPLETE)
            sequence.on_token(position)
