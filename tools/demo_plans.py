"""The requests that the demo sends to each deployment at once."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CallGroup:
    """A group of similar requests of one organisation to one service.

    Parameters
    ----------
    service : str
        Name in the sheet.
    organisation : str
        Organisation that sends them, with the token ``demo-ORGANISATION``.
    n_calls : int
        Number of requests.
    n_tokens : int
        Output tokens of a chat completion; 0 for a plain service.
    n_prompt_words : int
        Approximate number of words in the prompt.
    is_streamed : bool
        Whether the response is streamed.
    path : str
        Path below that of a plain service.
    is_order : bool
        Whether the requests carry an Idempotency-Key and may run only once.
    """

    service: str
    organisation: str
    n_calls: int
    n_tokens: int = 0
    n_prompt_words: int = 0
    is_streamed: bool = False
    path: str = ""
    is_order: bool = False


PLANS: dict[str, tuple[CallGroup, ...]] = {
    "saurashtra": (
        CallGroup("course-check", "junagadh-orienteers", 30, 24, 120, is_streamed=True),
        CallGroup("course-check", "bhuj-schools-league", 20, 24, 120),
        CallGroup("control-draft", "rajkot-map-club", 25, 48, 200, is_streamed=True),
        CallGroup("terrain-note", "gir-forest-runners", 15, 120, 1500),
        CallGroup("feedback-summary", "bhuj-schools-league", 60, 64, 800),
        CallGroup("reprint-status", "press-office", 30, path="/plate-7"),
        CallGroup("print-order", "press-office", 8, is_order=True),
    ),
    "ashcombe": (
        CallGroup("stock-check", "ashcombe-shop", 60, path="/harrow-size-6"),
        CallGroup("bulk-order", "severn-cricket-league", 8, is_order=True),
        CallGroup("buyer-reply", "colchester-sports", 40, 48, 150, is_streamed=True),
        CallGroup("cleft-grade", "willow-yard", 30, 16, 300),
        CallGroup("cleft-report", "willow-yard", 6, 200, 3000, is_streamed=True),
    ),
    "tiny": (
        CallGroup("stock-check", "ashcombe-shop", 10, path="/harrow-size-6"),
        CallGroup("bulk-order", "severn-cricket-league", 2, is_order=True),
        CallGroup("buyer-reply", "colchester-sports", 6, 16, 50, is_streamed=True),
        CallGroup("cleft-grade", "willow-yard", 6, 8, 50),
    ),
}
