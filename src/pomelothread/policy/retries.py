"""What the end of one attempt means for the request."""

from dataclasses import dataclass

from ..outcomes import Reason

MAX_ATTEMPTS = 4
RETRY_DELAY_S = 0.02
MAX_RETRY_DELAY_S = 0.5
# Less than this leaves no time for a control round trip and a first token.
MIN_TIME_LEFT_S = 0.02

# One rebinding for ten first attempts, plus a stock that covers the requests in
# flight at one upstream that dies.
RETRY_RATIO = 0.1
RETRY_STOCK = 50.0


@dataclass(frozen=True, slots=True)
class NothingSent:
    """No connection to the agent could be established."""


@dataclass(frozen=True, slots=True)
class NotDispatched:
    """The agent answered that it never dispatched this POST and never will.

    Parameters
    ----------
    reason : str
        Why, as given by the agent, such as ``expired`` or ``convicted``.
    """

    reason: str = ""


@dataclass(frozen=True, slots=True)
class LostBeforeHead:
    """The connection was lost, or timed out, before the response head.

    Parameters
    ----------
    revoked : bool or None
        Answer to `Revoke`: True if the grant was never used and never will be,
        False if it was used, None without an answer in time.
    timed_out : bool
        Whether the agent was silent rather than the connection lost.
    """

    revoked: bool | None
    timed_out: bool = False


@dataclass(frozen=True, slots=True)
class CutAfterHead:
    """The stream ended early, after the response head."""


@dataclass(frozen=True, slots=True)
class Complete:
    """The whole response was relayed."""


AttemptEnd = NothingSent | NotDispatched | LostBeforeHead | CutAfterHead | Complete


@dataclass(frozen=True, slots=True)
class BindAgain:
    """Offer the request again after `delay_s` seconds."""

    delay_s: float


@dataclass(frozen=True, slots=True)
class TellNotRun:
    """Tell the caller that the request did not run."""

    reason: Reason


@dataclass(frozen=True, slots=True)
class TellNotKnown:
    """Tell the caller that the request may have run.

    `give_status_url` is True for keyed orders, whose outcome can be asked for.
    """

    reason: Reason
    give_status_url: bool


@dataclass(frozen=True, slots=True)
class TellCut:
    """End the caller's stream with an error event and close the connection."""


@dataclass(frozen=True, slots=True)
class Done:
    """Nothing remains to be done."""


Decision = BindAgain | TellNotRun | TellNotKnown | TellCut | Done


class RetryBudget:
    """Limit on rebindings in proportion to first attempts.

    Without it, an outage in which every attempt fails would multiply the load
    on the remaining agents by `MAX_ATTEMPTS`.

    Parameters
    ----------
    ratio : float
        Rebindings earned by each first attempt.
    stock : float
        Most rebindings that can be saved up, and the number at the start.

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
        """Change how many rebindings can be saved up."""
        self._stock = stock
        self._left = min(self._left, stock)

    def earn(self) -> None:
        """Count the first attempt of a request."""
        self._left = min(self._stock, self._left + self._ratio)

    def try_spend(self) -> bool:
        """Take one rebinding out of the budget, if there is one."""
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

    A request is bound again only if it is certain that it did not run.

    Parameters
    ----------
    end : AttemptEnd
        What the entry observed.
    deadline_left_s : float
        Seconds until the deadline of the request.
    n_attempts : int
        Attempts so far, including this one.
    keyed : bool
        Whether the request carries an idempotency key.
    protected : bool
        Protected work is not given up for its number of attempts or for the
        budget; it is bound again after the longest delay. When its deadline
        has passed, `TellNotRun` still needs a raised floor first.
    budget : RetryBudget, optional
        Limit on rebindings; None for no limit.

    Returns
    -------
    Decision
        What to do.

    Examples
    --------
    >>> decide(NothingSent(), deadline_left_s=5.0, n_attempts=1, keyed=False)
    BindAgain(delay_s=0.0)
    >>> decide(
    ...     LostBeforeHead(revoked=None), deadline_left_s=5.0, n_attempts=1, keyed=True
    ... )
    TellNotKnown(reason=<Reason.ANSWER_LOST: ...>, give_status_url=True)
    """
    match end:
        case Complete():
            return Done()
        case CutAfterHead():
            return TellCut()
        case LostBeforeHead(revoked=True):
            reason_if_over = Reason.NO_UPSTREAM
        case LostBeforeHead(timed_out=True):
            return TellNotKnown(Reason.UPSTREAM_SILENT, give_status_url=keyed)
        case LostBeforeHead():
            return TellNotKnown(Reason.ANSWER_LOST, give_status_url=keyed)
        case NotDispatched(reason="convicted"):
            return TellNotRun(Reason.CONVICTED)
        case NotDispatched():
            reason_if_over = Reason.OVERLOADED
        case NothingSent():
            reason_if_over = Reason.NO_UPSTREAM
    if deadline_left_s < MIN_TIME_LEFT_S:
        return TellNotRun(Reason.DEADLINE_PASSED)
    may_retry = n_attempts < MAX_ATTEMPTS and (budget is None or budget.try_spend())
    if may_retry:
        return BindAgain(_retry_delay_s(n_attempts))
    if protected:
        return BindAgain(min(MAX_RETRY_DELAY_S, deadline_left_s / 2.0))
    return TellNotRun(reason_if_over)


def _retry_delay_s(n_attempts: int) -> float:
    """Return 0 after the first attempt, then an exponential delay in seconds."""
    if n_attempts <= 1:
        return 0.0
    return min(MAX_RETRY_DELAY_S, RETRY_DELAY_S * 2.0 ** (n_attempts - 2))
