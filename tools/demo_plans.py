"""What the callers of each deployment send in the demo's burst."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Calls:
    """Requests of one kind.

    Parameters
    ----------
    service : str
        Name in the sheet.
    organisation : str
        Who sends them; the demo sheets have the token ``demo-ORGANISATION``.
    n_calls : int
        How many, all at once.
    n_tokens : int
        Output tokens of a chat completion; 0 for a plain service.
    n_prompt_words : int
        Length of the prompt.
    is_streamed : bool
        Whether the response is streamed.
    path : str
        Path after the service's own, for a plain service.
    is_order : bool
        Whether the requests carry an Idempotency-Key and must run once.
    """

    service: str
    organisation: str
    n_calls: int
    n_tokens: int = 0
    n_prompt_words: int = 0
    is_streamed: bool = False
    path: str = ""
    is_order: bool = False


PLANS: dict[str, tuple[Calls, ...]] = {
    "saurashtra": (
        Calls("course-check", "junagadh-orienteers", 30, 24, 120, is_streamed=True),
        Calls("course-check", "bhuj-schools-league", 20, 24, 120),
        Calls("control-draft", "rajkot-map-club", 25, 48, 200, is_streamed=True),
        Calls("terrain-note", "gir-forest-runners", 15, 120, 1500),
        Calls("feedback-summary", "bhuj-schools-league", 60, 64, 800),
        Calls("reprint-status", "press-office", 30, path="/plate-7"),
        Calls("print-order", "press-office", 8, is_order=True),
    ),
    "ashcombe": (
        Calls("stock-check", "ashcombe-shop", 60, path="/harrow-size-6"),
        Calls("bulk-order", "severn-cricket-league", 8, is_order=True),
        Calls("buyer-reply", "colchester-sports", 40, 48, 150, is_streamed=True),
        Calls("cleft-grade", "willow-yard", 30, 16, 300),
        Calls("cleft-report", "willow-yard", 6, 200, 3000, is_streamed=True),
    ),
    "tiny": (
        Calls("stock-check", "ashcombe-shop", 10, path="/harrow-size-6"),
        Calls("bulk-order", "severn-cricket-league", 2, is_order=True),
        Calls("buyer-reply", "colchester-sports", 6, 16, 50, is_streamed=True),
        Calls("cleft-grade", "willow-yard", 6, 8, 50),
    ),
}
