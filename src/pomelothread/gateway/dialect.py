"""What the gateway asks of the adapter for the platform that it runs on."""

from dataclasses import dataclass
from typing import Protocol

from ..http1.messages import Headers, Request, ResponseHead
from ..outcomes import NotKnown, NotRun

# Callers may write any number. Larger ones count as this, which is beyond every
# quota and still fits into messages together with others.
MAX_TOKENS = 10**12


@dataclass(frozen=True, slots=True)
class CallerFacts:
    """What a caller says of its request.

    Parameters
    ----------
    request_id : bytes or None
        Name of this attempt of the caller.
    host : str
        Host that it wants.
    path : str
        Path without the query.
    deadline_s : float or None
        Seconds that the caller waits, from its arrival.
    key : str or None
        Key of the organisation.
    n_prompt_tokens : int
        Tokens to read; 0 if it does not say.
    n_output_tokens : int
        Most tokens to write; 0 if it does not say.
    names_tokens : bool
        Whether it says how many tokens it has.
    last_event_id : int or None
        Last event of the stream that the caller has.
    """

    request_id: bytes | None
    host: str
    path: str
    deadline_s: float | None
    key: str | None
    n_prompt_tokens: int
    n_output_tokens: int
    names_tokens: bool
    last_event_id: int | None


@dataclass(frozen=True, slots=True)
class ResponseFacts:
    """What the head of an upstream's response says.

    Parameters
    ----------
    names_request : bool
        Whether it names the request that it belongs to.
    is_genuine : bool
        Whether it is the upstream's own body, marked as such and not encoded.
    was_not_run : bool
        Whether the upstream states that it has not run the request.
    is_other_upstream : bool
        Whether another upstream has the address now.
    is_leaving : bool
        Whether the upstream that responds says that it leaves.
    rest_s : float or None
        Seconds for which it asks for no further request.
    """

    names_request: bool
    is_genuine: bool
    was_not_run: bool
    is_other_upstream: bool
    is_leaving: bool
    rest_s: float | None


class Dialect(Protocol):
    """Translates requests and responses; decides nothing."""

    def read_request(self, request: Request) -> CallerFacts:
        """Decode what the caller says of its request."""
        ...

    def forwarded_request(
        self,
        request: Request,
        *,
        left_s: float,
        upstream_id: str,
        organisation: str | None,
        last_event_id: int | None,
    ) -> Request:
        """Return the request as the upstream gets it.

        Parameters
        ----------
        request : Request
            As the caller sent it.
        left_s : float
            Seconds that are left.
        upstream_id : str
            The only upstream that may run it.
        organisation : str or None
            Who sent it.
        last_event_id : int or None
            Event after which a stream goes on, or None for all of it.
        """
        ...

    def is_response_to(self, request_id: bytes | None, headers: Headers) -> bool:
        """Tell whether a response does not name another request."""
        ...

    def read_response(self, head: ResponseHead) -> ResponseFacts:
        """Decode what the head of a response says."""
        ...

    def refusal(
        self, outcome: NotRun | NotKnown, request_id: bytes | None
    ) -> tuple[int, Headers, bytes]:
        """Return status, headers and body of an answer of our own."""
        ...
