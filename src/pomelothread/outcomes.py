"""The three outcomes of a request, and their encoding as problem details."""

import math
from dataclasses import dataclass
from enum import Enum

import msgspec

PROBLEM_CONTENT_TYPE = "application/problem+json"
PROBLEM_TYPE_PREFIX = "urn:pomelothread:problem:"


class Reason(Enum):
    """Why a request did not run, or why its outcome is not known.

    The value is (problem type, HTTP status, title).
    """

    MALFORMED_BODY = ("malformed-body", 400, "The request body is malformed")
    UNAUTHORISED = ("unauthorised", 401, "The bearer token is missing or unknown")
    UNKNOWN_RESOURCE = ("unknown-resource", 404, "No such resource")
    UNKNOWN_SERVICE = ("unknown-service", 404, "No such service")
    UNKNOWN_KEY = ("unknown-key", 404, "No order with this key has been seen")
    METHOD_NOT_ALLOWED = ("method-not-allowed", 405, "The method is not allowed")
    ORDER_RUNNING = ("order-running", 409, "The order with this key is running")
    BODY_TOO_LARGE = ("body-too-large", 413, "The request body is too large")
    MISSING_KEY = ("missing-key", 422, "The service requires an Idempotency-Key")
    KEY_REUSED = ("key-reused", 422, "The key was used with another body")
    KEY_EXPIRED = ("key-expired", 422, "The key is older than the key lifetime")
    KEY_NOT_DATED = ("key-not-dated", 422, "The service requires a UUIDv7 key")
    CONVICTED = ("convicted", 422, "The request has crashed upstreams")
    ORGANISATION_LIMIT = ("organisation-limit", 429, "The organisation's limit is used")
    OVERLOADED = ("overloaded", 503, "Shed for lack of capacity")
    DEADLINE_UNREACHABLE = (
        "deadline-unreachable",
        503,
        "The request cannot finish within its deadline",
    )
    NO_UPSTREAM = ("no-upstream", 503, "No upstream of the service is available")
    STREAM_NOT_RESUMED = (
        "stream-not-resumed",
        503,
        "No upstream is known to run the software that began the stream",
    )
    LOG_UNAVAILABLE = ("log-unavailable", 503, "The key cannot be claimed now")
    SHUTTING_DOWN = ("shutting-down", 503, "The instance is shutting down")
    DEADLINE_PASSED = ("deadline-passed", 504, "The deadline passed while waiting")
    ANSWER_LOST = ("answer-lost", 502, "The upstream's answer was lost")
    UPSTREAM_SILENT = ("upstream-silent", 504, "The upstream did not answer in time")


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request was not dispatched, and never will be.

    Parameters
    ----------
    reason : Reason
        Why it did not run.
    detail : str
        One sentence for the caller.
    retry_after_s : float or None
        Seconds after which to retry; None if a retry does not help.
    """

    reason: Reason
    detail: str = ""
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class NotKnown:
    """The request may have run, but its response was lost.

    Parameters
    ----------
    reason : Reason
        Why the outcome is not known.
    detail : str
        One sentence for the caller.
    status_url : str
        URL where the outcome of a keyed order can be looked up, or "".
    retry_after_s : float or None
        Seconds after which to ask again.
    """

    reason: Reason
    detail: str = ""
    status_url: str = ""
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class Run:
    """The request ran, and this is the whole response.

    Parameters
    ----------
    status : int
        HTTP status of the upstream.
    headers : tuple of (str, str)
        End-to-end headers of the upstream's response.
    body : bytes
        The whole body.
    replayed : bool
        True if the response was stored by an earlier request with the same key.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    replayed: bool = False


Outcome = Run | NotRun | NotKnown


@dataclass(frozen=True, slots=True)
class ProblemResponse:
    """An HTTP response that carries RFC 9457 problem details.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : dict of str to str
        Response headers.
    body : bytes
        The encoded problem details.
    """

    status: int
    headers: dict[str, str]
    body: bytes


def problem_response(outcome: NotRun | NotKnown) -> ProblemResponse:
    """Encode an outcome as a response with problem details.

    Parameters
    ----------
    outcome : NotRun or NotKnown
        Outcome of the request.

    Returns
    -------
    ProblemResponse
        Status, headers and body. ``x-should-retry`` tells OpenAI's clients
        whether to retry; without it they retry after any 5xx.

    Examples
    --------
    >>> problem_response(NotRun(Reason.OVERLOADED, retry_after_s=2)).headers[
    ...     "Retry-After"
    ... ]
    '2'
    """
    kind, status, title = outcome.reason.value
    problem: dict[str, object] = {
        "type": PROBLEM_TYPE_PREFIX + kind,
        "title": title,
        "status": status,
    }
    if outcome.detail:
        problem["detail"] = outcome.detail
    headers = {"Content-Type": PROBLEM_CONTENT_TYPE}
    match outcome:
        case NotRun(retry_after_s=retry_after_s):
            problem["outcome"] = "not-run"
            headers["x-should-retry"] = "false" if retry_after_s is None else "true"
        case NotKnown(status_url=status_url):
            problem["outcome"] = "not-known"
            headers["x-should-retry"] = "false"
            if status_url:
                problem["status_url"] = status_url
    if outcome.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, math.ceil(outcome.retry_after_s)))
    # OpenAI's clients read the error message from this member.
    problem["error"] = {"message": outcome.detail or title, "type": kind}
    return ProblemResponse(status, headers, msgspec.json.encode(problem))
