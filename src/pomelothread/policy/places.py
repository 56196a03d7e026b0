"""How many requests an upstream may run at once, and whether it is straggling."""

from math import floor

DECREASE_FACTOR_MIN = 0.5
# One place in this time: a limit that starts at 8 reaches 16 within 8 s. Adding
# one place in a response time would take minutes, because answers take seconds.
INCREASE_PERIOD_S = 1.0
RESPONSE_TIME_MIN_S = 0.2
RESPONSE_TIME_MAX_S = 5.0

# The time between tokens must be over its target for this long before the limit
# shrinks: at the start and the end of a slowdown of 0.3 s between tokens, the
# average passes between target and straggling threshold for up to 0.3 s.
OVER_TARGET_S = 0.5

# Share of the difference that one decoding step moves the averages by.
RECENT_WEIGHT = 0.3
MEAN_WEIGHT = 0.04
BASELINE_WEIGHT_UP = 0.005
BASELINE_WEIGHT_DOWN = 0.05

# A growing batch lengthens a step up to about twofold, a noisy neighbour tenfold.
STRAGGLE_RATIO = 3.0
# Stands in for the usual gap of steps that compute part of a prompt until one was
# measured: 512 tokens of a prompt take as long as about four decoding steps.
FIRST_PREFILL_RATIO = 5.0
# Shorter silences are scheduling noise of the machine.
STRAGGLE_MIN_S = 0.08
# While the engine straggles for a shorter time than this the limit is left as
# it is, so that the places are there again as soon as the engine recovers.
LIMIT_HOLD_S = 10.0


class PlaceLimit:
    """Limit on concurrent requests and context tokens of one upstream.

    Additive increase and multiplicative decrease, driven by the measured time
    between tokens. The limit grows by one place in `INCREASE_PERIOD_S` while it
    is used, the time between tokens is under its target and the engine has no
    queue; it shrinks at most once in one response time, because the effect of
    a decrease is seen only after running requests have finished.

    Parameters
    ----------
    initial : int
        Places at the start.
    minimum : int
        Lower bound, at least 1.
    maximum : int
        Upper bound.
    max_context_tokens : int
        Input and output tokens that may be in flight together.
    target_token_gap_s : float
        Seconds between two tokens of a stream that must not be exceeded.
    reserved_share : float
        Share of the places that only protected work may use; 0 for pools
        without protected work, otherwise at least one place is reserved when
        there are two or more.
    """

    __slots__ = (
        "_baseline_gaps_s",
        "_decreased_at_s",
        "_increased_at_s",
        "_is_straggling",
        "_last_token_at_s",
        "_limit",
        "_max_context_tokens",
        "_maximum",
        "_mean_gap_s",
        "_minimum",
        "_n_engine_waiting",
        "_n_prefilling",
        "_n_streaming",
        "_over_target_since_s",
        "_recent_gap_s",
        "_recent_ratio",
        "_reserved_share",
        "_response_time_s",
        "_straggling_since_s",
        "_target_token_gap_s",
        "_was_used",
    )

    def __init__(
        self,
        initial: int,
        minimum: int,
        maximum: int,
        max_context_tokens: int,
        target_token_gap_s: float,
        reserved_share: float,
    ) -> None:
        if not 1 <= minimum <= initial <= maximum:
            raise ValueError(
                f"minimum={minimum}, initial={initial}, maximum={maximum}; "
                "expected 1 <= minimum <= initial <= maximum"
            )
        if max_context_tokens < 1:
            raise ValueError(f"max_context_tokens={max_context_tokens}; expected >= 1")
        if not target_token_gap_s > 0.0:
            raise ValueError(
                f"target_token_gap_s={target_token_gap_s}; expected seconds above 0"
            )
        if not 0.0 <= reserved_share < 1.0:
            raise ValueError(f"reserved_share={reserved_share}; expected 0 <= x < 1")
        self._limit = float(initial)
        self._minimum = minimum
        self._maximum = maximum
        self._max_context_tokens = max_context_tokens
        self._target_token_gap_s = target_token_gap_s
        self._reserved_share = reserved_share
        # Without and with a prompt being computed: a step that computes part of
        # a prompt takes several times as long, and is not a stall.
        self._baseline_gaps_s = [0.0, 0.0]
        self._recent_gap_s = 0.0
        self._mean_gap_s = 0.0
        self._recent_ratio = 1.0
        self._n_prefilling = 0
        self._last_token_at_s: float | None = None
        self._n_streaming = 0
        self._over_target_since_s: float | None = None
        self._is_straggling = False
        self._straggling_since_s = 0.0
        self._response_time_s = 1.0
        self._decreased_at_s = float("-inf")
        self._increased_at_s = float("-inf")
        self._n_engine_waiting = 0
        self._was_used = False

    @property
    def n_places(self) -> int:
        """Places now: the minimum while the engine straggles."""
        return self._minimum if self._is_straggling else int(self._limit)

    @property
    def n_reserved(self) -> int:
        """Places that only protected work may use."""
        n_places = self.n_places
        if self._reserved_share == 0.0 or n_places < 2:
            return 0
        return min(n_places - 1, max(1, floor(n_places * self._reserved_share)))

    @property
    def recent_gap_s(self) -> float:
        """Average time between tokens of the last few steps; 0 if unknown."""
        return self._recent_gap_s

    @property
    def mean_gap_s(self) -> float:
        """Average time between tokens of some 25 steps; 0 if unknown.

        For heartbeats and `can_finish`. The average of a few steps jumps about
        fourfold with each prompt that joins the batch.
        """
        return self._mean_gap_s

    @property
    def baseline_gap_s(self) -> float:
        """Long-term average of the time between tokens; 0 if unknown.

        Of steps in which the engine computes no prompt, if there were any.
        """
        return self._baseline_gaps_s[0] or self._baseline_gaps_s[1]

    def set_reserved_share(self, reserved_share: float) -> None:
        """Change the reserved share when a new sheet adds or drops protection."""
        if not 0.0 <= reserved_share < 1.0:
            raise ValueError(f"reserved_share={reserved_share}; expected 0 <= x < 1")
        self._reserved_share = reserved_share

    def observe_token_gap(
        self, gap_s: float, n_running: int, now_s: float, n_prefilling: int = 0
    ) -> None:
        """Take in the time between two tokens of one stream.

        Parameters
        ----------
        gap_s : float
            Seconds since the previous token of the same stream.
        n_running : int
            Streams that have sent their first token and are not finished.
        now_s : float
            Monotonic time in seconds.
        n_prefilling : int
            Requests that were dispatched and have not sent their first token.
        """
        n_streams = max(1, n_running)
        self._n_streaming = n_running
        self._n_prefilling = n_prefilling
        self._last_token_at_s = now_s
        # Every step of the engine gives one gap for each stream.
        weight = RECENT_WEIGHT / n_streams
        if self._recent_gap_s == 0.0:
            self._recent_gap_s = self._mean_gap_s = gap_s
        self._mean_gap_s += MEAN_WEIGHT / n_streams * (gap_s - self._mean_gap_s)
        self._recent_gap_s += weight * (gap_s - self._recent_gap_s)
        kind = int(n_prefilling > 0)
        baseline_s = self._baseline_gaps_s[kind] or gap_s
        self._recent_ratio += weight * (gap_s / baseline_s - self._recent_ratio)
        difference_s = min(gap_s, 2.0 * baseline_s) - baseline_s
        weight = BASELINE_WEIGHT_UP if difference_s > 0.0 else BASELINE_WEIGHT_DOWN
        self._baseline_gaps_s[kind] = baseline_s + weight / n_streams * difference_s
        if n_running >= int(self._limit):
            self._was_used = True
        if self.is_straggling(now_s) and (
            now_s - self._straggling_since_s < LIMIT_HOLD_S
        ):
            self._over_target_since_s = None
            return
        if self._recent_gap_s <= self._target_token_gap_s:
            self._over_target_since_s = None
            self._increase(now_s)
            return
        if self._over_target_since_s is None:
            self._over_target_since_s = now_s
        if now_s - self._over_target_since_s >= OVER_TARGET_S:
            self._decrease(self._target_token_gap_s / self._recent_gap_s, now_s)

    def observe_engine_queue(self, n_waiting: int, now_s: float) -> None:
        """Take in how many requests wait inside the engine.

        Parameters
        ----------
        n_waiting : int
            Requests that the engine has accepted and not started.
        now_s : float
            Monotonic time in seconds.
        """
        self._n_engine_waiting = n_waiting
        if n_waiting > 0:
            self._decrease(1.0 - n_waiting / self._limit, now_s)

    def observe_response_time(self, response_time_s: float) -> None:
        """Take in the time from dispatch to the end of one request."""
        self._response_time_s += 0.1 * (response_time_s - self._response_time_s)

    def observe_success(self, n_running: int, now_s: float) -> None:
        """Take in the end of a request of a plain service, which has no tokens.

        Parameters
        ----------
        n_running : int
            Requests that were running, including this one.
        now_s : float
            Monotonic time in seconds.
        """
        if n_running >= int(self._limit):
            self._was_used = True
        self._increase(now_s)

    def is_straggling(
        self,
        now_s: float,
        n_streaming: int | None = None,
        n_prefilling: int | None = None,
    ) -> bool:
        """Return whether the engine is much slower than it usually is.

        Compares the gap of the running streams that is still open, and the
        average of the last few steps, with the long-term average. A stall is
        noticed after `STRAGGLE_RATIO` usual gaps or `STRAGGLE_MIN_S`, whichever
        is longer. Call it from a timer too (every 50 ms): during a stall no
        token arrives. The engine is straggling until tokens show otherwise; an
        idle one keeps its last state and so gets one request as a probe.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.
        n_streaming : int, optional
            Streams that have sent their first token and are not finished; by
            default as in the last call of `observe_token_gap`.
        n_prefilling : int, optional
            Requests that have not sent their first token; default as above.

        Returns
        -------
        bool
            True if the engine straggles.
        """
        if n_streaming is not None:
            self._n_streaming = n_streaming
        if n_prefilling is not None:
            self._n_prefilling = n_prefilling
        if self._last_token_at_s is None:
            return False
        baseline_s = self._baseline_gaps_s[int(self._n_prefilling > 0)]
        if baseline_s == 0.0:
            baseline_s = FIRST_PREFILL_RATIO * self.baseline_gap_s
        threshold_s = max(STRAGGLE_MIN_S, STRAGGLE_RATIO * baseline_s)
        gap_s = self._recent_ratio * baseline_s
        if self._n_streaming > 0:
            gap_s = max(gap_s, now_s - self._last_token_at_s)
        was_straggling = self._is_straggling
        self._is_straggling = gap_s > threshold_s
        if self._is_straggling and not was_straggling:
            self._straggling_since_s = now_s
        return self._is_straggling

    def has_place(
        self, n_running: int, n_running_unprotected: int, protected: bool
    ) -> bool:
        """Return whether a place is free, whatever the context tokens.

        Parameters
        ----------
        n_running : int
            Requests that run or have an unexpired grant.
        n_running_unprotected : int
            How many of these are unprotected.
        protected : bool
            Whether the new one may use reserved places.

        Returns
        -------
        bool
            True if a place is free. If none is free for protected work, it is
            not worth while to ask the queue for candidates.
        """
        n_places = self.n_places
        if n_running < n_places and (
            protected or n_running_unprotected < n_places - self.n_reserved
        ):
            return True
        self._was_used = True
        return False

    def allows(
        self,
        n_running: int,
        n_running_unprotected: int,
        context_tokens: int,
        offer_tokens: int,
        protected: bool,
    ) -> bool:
        """Return whether one more request may start.

        Parameters
        ----------
        n_running : int
            Requests that run or have an unexpired grant.
        n_running_unprotected : int
            How many of these are unprotected.
        context_tokens : int
            Input and output tokens of these.
        offer_tokens : int
            Input and output tokens of the new one.
        protected : bool
            Whether the new one may use reserved places.

        Returns
        -------
        bool
            True if it may start.
        """
        if not self.has_place(n_running, n_running_unprotected, protected):
            return False
        max_tokens = float(self._max_context_tokens)
        if not protected:
            # A reserved place is of no use if no context is left for it.
            max_tokens *= 1.0 - self._reserved_share
        # A request that exceeds the limit by itself runs alone; it would
        # otherwise wait forever.
        return n_running == 0 or context_tokens + offer_tokens <= max_tokens

    def _decrease(self, factor: float, now_s: float) -> None:
        """Shrink the limit, at most once in one response time."""
        response_time_s = min(
            RESPONSE_TIME_MAX_S, max(RESPONSE_TIME_MIN_S, self._response_time_s)
        )
        if now_s - self._decreased_at_s < response_time_s:
            return
        factor = min(1.0, max(DECREASE_FACTOR_MIN, factor))
        self._limit = max(float(self._minimum), self._limit * factor)
        self._decreased_at_s = now_s
        self._increased_at_s = now_s
        self._was_used = False

    def _increase(self, now_s: float) -> None:
        """Add one place, if the limit was used since the last change."""
        if not self._was_used or self._n_engine_waiting > 0:
            return
        if now_s - self._increased_at_s < INCREASE_PERIOD_S:
            return
        self._limit = min(float(self._maximum), self._limit + 1.0)
        self._increased_at_s = now_s
        self._was_used = False
