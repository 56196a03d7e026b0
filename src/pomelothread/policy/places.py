"""Limits the concurrency of an upstream, and detects when it is straggling.

A place is the right to run one request.
"""

from math import floor

DECREASE_FACTOR_MIN = 0.5
# Seconds for each added place: a limit that starts at 8 reaches 16 within 8 s. Adding
# one place per response time would take minutes, because answers take seconds.
INCREASE_PERIOD_S = 1.0
RESPONSE_TIME_MIN_S = 0.2
RESPONSE_TIME_MAX_S = 5.0

# The time between tokens must exceed its target for this long before the limit is
# decreased. When the time between tokens jumps to 0.3 s and back, the average is above
# the target and below the straggling threshold for up to 0.3 s each time; this must
# not decrease the limit.
OVER_TARGET_S = 0.5

# Weights of one decoding step in the moving averages.
RECENT_WEIGHT = 0.3
MEAN_WEIGHT = 0.04
BASELINE_WEIGHT_UP = 0.005
BASELINE_WEIGHT_DOWN = 0.05

# Ratio of the current to the usual time between tokens above which the engine
# straggles. A growing batch makes a step about twice as long at most, a noisy
# neighbour ten times.
STRAGGLE_RATIO = 3.0
# Assumed ratio of a step that computes part of a prompt to a decoding step until such
# a step was measured: 512 tokens of a prompt take as long as about four decoding steps.
FIRST_PREFILL_RATIO = 5.0
# Shorter pauses are scheduling noise of the machine.
STRAGGLE_MIN_S = 0.08
# The limit is not decreased during the first seconds of straggling, so that all
# places are available again as soon as the engine recovers.
LIMIT_HOLD_S = 10.0


class ConcurrencyLimit:
    """Limit on concurrent requests and context tokens of one upstream.

    Additive increase and multiplicative decrease, driven by the measured time
    between tokens. The limit grows by one place in `INCREASE_PERIOD_S` while it
    is reached, the time between tokens is under its target and the engine has no
    queue. It shrinks at most once per response time, because a decrease takes
    effect only after running requests have finished.

    Parameters
    ----------
    initial : int
        Places at the start.
    minimum : int
        Lower bound, at least 1.
    maximum : int
        Upper bound.
    max_context_tokens : int
        Maximum number of input and output tokens of all running requests together.
    target_token_gap_s : float
        Maximum time between two tokens of a stream, in seconds.
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
        "_was_reached",
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
        # Separate averages for steps without and with part of a prompt: the latter
        # take several times as long, which is no stall.
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
        self._was_reached = False

    @property
    def n_places(self) -> int:
        """Current number of places; the minimum while the engine straggles."""
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
        """Average time between tokens over the last few steps; 0 if unknown."""
        return self._recent_gap_s

    @property
    def mean_gap_s(self) -> float:
        """Average time between tokens over some 25 steps; 0 if unknown.

        Used in heartbeats and for `can_finish`, because the average over a few
        steps rises about fourfold with each prompt that joins the batch.
        """
        return self._mean_gap_s

    @property
    def baseline_gap_s(self) -> float:
        """Long-term average of the time between tokens; 0 if unknown.

        Taken over steps without part of a prompt, if there were any.
        """
        return self._baseline_gaps_s[0] or self._baseline_gaps_s[1]

    def set_reserved_share(self, reserved_share: float) -> None:
        """Change the reserved share after a change of the protected tiers."""
        if not 0.0 <= reserved_share < 1.0:
            raise ValueError(f"reserved_share={reserved_share}; expected 0 <= x < 1")
        self._reserved_share = reserved_share

    def observe_token_gap(
        self, gap_s: float, n_running: int, now_s: float, n_prefilling: int = 0
    ) -> None:
        """Record the time between two tokens of one stream.

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
        # Each step of the engine produces one gap for every stream.
        weight = RECENT_WEIGHT / n_streams
        if self._recent_gap_s == 0.0:
            self._recent_gap_s = self._mean_gap_s = gap_s
        self._mean_gap_s += MEAN_WEIGHT / n_streams * (gap_s - self._mean_gap_s)
        self._recent_gap_s += weight * (gap_s - self._recent_gap_s)
        phase = int(n_prefilling > 0)
        baseline_s = self._baseline_gaps_s[phase] or gap_s
        self._recent_ratio += weight * (gap_s / baseline_s - self._recent_ratio)
        difference_s = min(gap_s, 2.0 * baseline_s) - baseline_s
        weight = BASELINE_WEIGHT_UP if difference_s > 0.0 else BASELINE_WEIGHT_DOWN
        self._baseline_gaps_s[phase] = baseline_s + weight / n_streams * difference_s
        if n_running >= int(self._limit):
            self._was_reached = True
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
        """Record how many requests wait inside the engine.

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
        """Record the time from dispatch to the end of one request."""
        self._response_time_s += 0.1 * (response_time_s - self._response_time_s)

    def observe_success(self, n_running: int, now_s: float) -> None:
        """Record the completion of a request of a plain service, without tokens.

        Parameters
        ----------
        n_running : int
            Requests that were running, including this one.
        now_s : float
            Monotonic time in seconds.
        """
        if n_running >= int(self._limit):
            self._was_reached = True
        self._increase(now_s)

    def is_straggling(
        self,
        now_s: float,
        n_streaming: int | None = None,
        n_prefilling: int | None = None,
    ) -> bool:
        """Return whether the engine is much slower than usual.

        Compares the long-term average time between tokens with the average of the
        last few steps and, while streams are running, with the time since the last
        token. A stall is detected after `STRAGGLE_RATIO` usual gaps or
        `STRAGGLE_MIN_S`, whichever is longer. During a stall no token arrives, so
        this method must also be called from a timer, every 50 ms. The engine counts
        as straggling until new tokens show otherwise. An idle engine keeps its last
        state; if it was straggling, it gets one request as a probe.

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
        """Return whether a place is free, regardless of context tokens.

        Parameters
        ----------
        n_running : int
            Requests that run or have an unexpired grant.
        n_running_unprotected : int
            How many of these are unprotected.
        protected : bool
            Whether the new request may use reserved places.

        Returns
        -------
        bool
            True if a place is free. If none is free for protected work, no queued
            request can start and the queue need not be searched.
        """
        n_places = self.n_places
        if n_running < n_places and (
            protected or n_running_unprotected < n_places - self.n_reserved
        ):
            return True
        self._was_reached = True
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
            Input and output tokens of the running requests.
        offer_tokens : int
            Input and output tokens of the new request.
        protected : bool
            Whether the new request may use reserved places.

        Returns
        -------
        bool
            True if it may start.
        """
        if not self.has_place(n_running, n_running_unprotected, protected):
            return False
        max_tokens = float(self._max_context_tokens)
        if not protected:
            # A reserved place needs context tokens too.
            max_tokens *= 1.0 - self._reserved_share
        # A request that alone exceeds the limit runs when nothing else does;
        # otherwise it would wait forever.
        return n_running == 0 or context_tokens + offer_tokens <= max_tokens

    def _decrease(self, factor: float, now_s: float) -> None:
        """Decrease the limit, at most once per response time."""
        response_time_s = min(
            RESPONSE_TIME_MAX_S, max(RESPONSE_TIME_MIN_S, self._response_time_s)
        )
        if now_s - self._decreased_at_s < response_time_s:
            return
        factor = min(1.0, max(DECREASE_FACTOR_MIN, factor))
        self._limit = max(float(self._minimum), self._limit * factor)
        self._decreased_at_s = now_s
        self._increased_at_s = now_s
        self._was_reached = False

    def _increase(self, now_s: float) -> None:
        """Add one place if the limit was reached since the last change."""
        if not self._was_reached or self._n_engine_waiting > 0:
            return
        if now_s - self._increased_at_s < INCREASE_PERIOD_S:
            return
        self._limit = min(float(self._maximum), self._limit + 1.0)
        self._increased_at_s = now_s
        self._was_reached = False
