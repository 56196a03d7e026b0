"""Decides whether an entry retries a request after an attempt at an agent.

Another attempt is called a rebinding: the request is offered to the agents again.
"""

from dataclasses import dataclass

from ..outcomes import Reason

MAX_ATTEMPTS = 4
RETRY_DELAY_S = 0.02
MAX_RETRY_DELAY_S = 0.5
# Minimum time to the deadline, in seconds, for a control round trip and a first token.
MIN_TIME_LEFT_S = 0.02

# One rebinding for ten first attempts, plus a stock that is sufficient for the requests
# in flight at one upstream that crashes.
RETRY_RATIO = 0.1
RETRY_STOCK = 50.0


@dataclass(frozen=True, slots=True)
class NothingSent:
    """No connection to the agent could be established."""


@dataclass(frozen=True, slots=True)
class NotDispatched:
    """The agent answered that it has not dispatched this POST and never will.

    Parameters
    ----------
    reason : str
        Reason that the agent gave, such as ``expired`` or ``convicted``.
    """

    reason: str = ""


@dataclass(frozen=True, slots=True)
class LostBeforeHead:
    """The connection was lost, or timed out, before the response head.

    Parameters
    ----------
    revoked : bool or None
        Answer to `Revoke`: True if the grant was never used and never will be,
        False if it was used, None if no answer arrived in time.
    timed_out : bool
        Whether the agent did not answer in time, as opposed to a lost connection.
    """

    revoked: bool | None
    timed_out: bool = False


@dataclass(frozen=True, slots=True)
class CutAfterHead:
    """The response was cut after its head."""


@dataclass(frozen=True, slots=True)
class Complete:
    """The whole response was relayed."""


AttemptEnd = NothingSent | NotDispatched | LostBeforeHead | CutAfterHead | Complete


@dataclass(frozen=True, slots=True)
class OfferAgain:
    """Offer the request again after `delay_s` seconds."""

    delay_s: float


@dataclass(frozen=True, slots=True)
class AnswerNotRun:
    """Tell the caller that the request did not run."""

    reason: Reason


@dataclass(frozen=True, slots=True)
class AnswerNotKnown:
    """Tell the caller that the request may have run.

    `give_status_url` is True for keyed orders, whose outcome can be queried.
    """

    reason: Reason
    give_status_url: bool


@dataclass(frozen=True, slots=True)
class CutResponse:
    """End the caller's stream with an error event and close the connection."""


@dataclass(frozen=True, slots=True)
class Done:
    """Nothing remains to be done."""


Decision = OfferAgain | AnswerNotRun | AnswerNotKnown | CutResponse | Done


class RetryBudget:
    """Token bucket that limits rebindings in proportion to first attempts.

    Without it, an outage in which every attempt fails would multiply the load on
    the remaining agents by `MAX_ATTEMPTS`.

    Parameters
    ----------
    ratio : float
        Rebindings earned by each first attempt.
    stock : float
        Maximum number of rebindings that can accumulate; also the initial number.

    Examples
    --------
    >>> budget = RetryBudget(ratio=0.5, stock=1.0)
    >>> budget.try_spend(), budget.try_spend()
    (True, False)
    >>> budget.earn()
    >>> budget.earn()
    >>> budget.try_spend()
    True
    """

    __slots__ = ("_left", "_ratio", "_stock")

    def __init__(self, ratio: float = RETRY_RATIO, stock: float = RETRY_STOCK) -> None:
        self._ratio = ratio
        self._stock = stock
        self._left = stock

    def set_stock(self, stock: float) -> None:
        """Change how many rebindings can accumulate."""
        self._stock = stock
        self._left = min(self._left, stock)

    def earn(self) -> None:
        """Count the first attempt of a request."""
        self._left = min(self._stock, self._left + self._ratio)

    def has_share(self, share: float) -> bool:
        """Return whether that share of what can accumulate is left, 0 to 1."""
        return self._left >= share * self._stock

    def refund(self) -> None:
        """Give back a rebinding that was not sent."""
        self._left = min(self._stock, self._left + 1.0)

    def try_spend(self) -> bool:
        """Take one rebinding from the budget; return False if there is none."""
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True


def decide(
    end: AttemptEnd,
    *,
    deadline_left_s: float,
    n_attempts: int,
    keyed: bool,
    protected: bool = False,
    budget: RetryBudget | None = None,
) -> Decision:
    """Decide what follows the end of an attempt.

    A request is offered again only if it certainly did not run.

    Parameters
    ----------
    end : AttemptEnd
        How the attempt ended, as observed by the entry.
    deadline_left_s : float
        Seconds until the deadline of the request.
    n_attempts : int
        Attempts so far, including this one.
    keyed : bool
        Whether the request carries an idempotency key.
    protected : bool
        Whether the request is protected. Protected work is not given up because of
        its number of attempts or the budget, but offered again after the longest
        delay. If its deadline has passed, the caller of this function must raise a
        floor before it acts on `AnswerNotRun`.
    budget : RetryBudget, optional
        Limit on rebindings; None for no limit.

    Returns
    -------
    Decision
        What to do.

    Examples
    --------
    >>> decide(NothingSent(), deadline_left_s=5.0, n_attempts=1, keyed=False)
    OfferAgain(delay_s=0.0)
    >>> decide(
    ...     LostBeforeHead(revoked=None), deadline_left_s=5.0, n_attempts=1, keyed=True
    ... )
    AnswerNotKnown(reason=<Reason.ANSWER_LOST: ...>, give_status_url=True)
    """
    match end:
        case Complete():
            return Done()
        case CutAfterHead():
            return CutResponse()
        case LostBeforeHead(revoked=True):
            reason_without_retry = Reason.NO_UPSTREAM
        case LostBeforeHead(timed_out=True):
            return AnswerNotKnown(Reason.UPSTREAM_SILENT, give_status_url=keyed)
        case LostBeforeHead():
            return AnswerNotKnown(Reason.ANSWER_LOST, give_status_url=keyed)
        case NotDispatched(reason="convicted"):
            return AnswerNotRun(Reason.CONVICTED)
        case NotDispatched():
            reason_without_retry = Reason.OVERLOADED
        case NothingSent():
            reason_without_retry = Reason.NO_UPSTREAM
    if deadline_left_s < MIN_TIME_LEFT_S:
        return AnswerNotRun(Reason.DEADLINE_PASSED)
    may_retry = n_attempts < MAX_ATTEMPTS and (budget is None or budget.try_spend())
    if may_retry:
        return OfferAgain(_retry_delay_s(n_attempts))
    if protected:
        return OfferAgain(min(MAX_RETRY_DELAY_S, deadline_left_s / 2.0))
    return AnswerNotRun(reason_without_retry)


def _retry_delay_s(n_attempts: int) -> float:
    """Return 0 after the first attempt, then an exponential delay in seconds."""
    if n_attempts <= 1:
        return 0.0
    return min(MAX_RETRY_DELAY_S, RETRY_DELAY_S * 2.0 ** (n_attempts - 2))
