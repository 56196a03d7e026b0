"""The HTTP request with which an entry dispatches a request to an agent."""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass
from urllib.parse import quote, unquote

DISPATCH_PATH = "/dispatch"
OUTCOME_HEADER = "X-Pomelothread-Outcome"
REASON_HEADER = "X-Pomelothread-Reason"

EVENT_STREAM = "text/event-stream"
# Responses that are not streams are buffered in memory until they are complete.
MAX_WHOLE_RESPONSE_BYTES = 64 * 1024 * 1024
# Limit for responses to order lookups; stored bodies are at most 16 KiB.
MAX_ORDER_LOOKUP_BYTES = 1024 * 1024

# Values of OUTCOME_HEADER. With `RUN` the body is the upstream's response, with
# `NOT_RUN` and `NOT_KNOWN` it is problem details for the caller. `NOT_DISPATCHED`
# tells the entry that this POST was not dispatched and never will be.
RUN = "run"
NOT_RUN = "not-run"
NOT_KNOWN = "not-known"
NOT_DISPATCHED = "not-dispatched"

# Reasons of NOT_DISPATCHED.
GRANT_INVALID = "grant-invalid"
MUST_RUN_ALONE = "must-run-alone"
SHEET_BEHIND = "sheet-behind"
UPSTREAM_DOWN = "upstream-down"


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Metadata of a dispatched request, sent as headers beside its body.

    Parameters
    ----------
    request_id : str
        Unique within the fleet.
    grant : int
        Number of the grant that the dispatch uses.
    agent_incarnation : str
        Incarnation of the agent that made the grant.
    service, organisation : str
        Names in the sheet.
    method, path : str
        Method and path of the request to the upstream.
    content_type : str
        Media type of the body.
    key : str
        Idempotency key, or "".
    never_repeated : bool
        Whether the entry's sheet declares the request as an order, which must
        not run twice.
    """

    request_id: str
    grant: int
    agent_incarnation: str
    service: str
    organisation: str
    method: str
    path: str
    content_type: str
    key: str
    never_repeated: bool

    def to_headers(self) -> dict[str, str]:
        """Encode as HTTP headers; names are quoted, as they may be any Unicode text."""
        return {
            "X-Request-Id": self.request_id,
            "X-Grant": str(self.grant),
            "X-Agent-Incarnation": self.agent_incarnation,
            "X-Service": quote(self.service),
            "X-Organisation": quote(self.organisation),
            "X-Method": self.method,
            "X-Path": quote(self.path, safe="/?&=%:,;+@!$'()*~"),
            "X-Key": quote(self.key),
            "X-Never-Repeated": "1" if self.never_repeated else "0",
            "Content-Type": self.content_type or "application/octet-stream",
        }

    @classmethod
    def from_headers(cls, headers: Mapping[str, str]) -> "Dispatch | None":
        """Decode from HTTP headers; None if they are malformed."""
        grant = headers.get("X-Grant", "")
        request_id = headers.get("X-Request-Id", "")
        if not grant.isdecimal() or not request_id:
            return None
        return cls(
            request_id=request_id,
            grant=int(grant),
            agent_incarnation=headers.get("X-Agent-Incarnation", ""),
            service=unquote(headers.get("X-Service", "")),
            organisation=unquote(headers.get("X-Organisation", "")),
            method=headers.get("X-Method", "POST"),
            path=headers.get("X-Path", "/"),
            content_type=headers.get("Content-Type", ""),
            key=unquote(headers.get("X-Key", "")),
            never_repeated=headers.get("X-Never-Repeated") == "1",
        )


def order_path(service: str, key: str) -> str:
    """Return the path at which the outcome of an order can be looked up.

    Parameters
    ----------
    service : str
        Name of the service.
    key : str
        The idempotency key.

    Returns
    -------
    str
        The path, which is the same on entries and agents.

    Examples
    --------
    >>> order_path("print-order", "a b")
    '/v1/orders/print-order/a%20b'
    """
    return f"/v1/orders/{quote(service, safe='')}/{quote(key, safe='')}"


def body_fingerprint(service: str, path: str, body: bytes) -> str:
    """Fingerprint a request by its content, to detect those that crash upstreams.

    Parameters
    ----------
    service : str
        Name of the service.
    path : str
        Path at the upstream.
    body : bytes
        Body as it is sent to the upstream.

    Returns
    -------
    str
        32 hexadecimal digits.

    Examples
    --------
    >>> len(body_fingerprint("draft", "/v1/chat/completions", b"{}"))
    32
    """
    digest = hashlib.blake2b(digest_size=16)
    for part in (service.encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
