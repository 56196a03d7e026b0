"""The epoch of the store: how often it has returned from an older copy of itself.

A store that does so has lost what was written since the copy was made. Offsets that
were read before mean nothing afterwards, and what gateways had stored may be gone.
"""

import logging
from collections.abc import Callable

from ..events import Event, log_event

_log = logging.getLogger(__name__)


class StoreEpoch:
    """The newest epoch that any answer of the store or any peer has named.

    Attributes
    ----------
    current : int or None
        None until one is known. It never falls.
    has_risen : bool
        Whether the store has returned from a copy while this process ran.

    Examples
    --------
    >>> epoch = StoreEpoch()
    >>> epoch.observe(3, "an answer")
    >>> epoch.observe(2, "an answer that was late")
    >>> epoch.current
    3
    """

    __slots__ = ("_on_rise", "current", "has_risen")

    def __init__(self) -> None:
        self.current: int | None = None
        self.has_risen = False
        self._on_rise: list[Callable[[], None]] = []

    def on_rise(self, callback: Callable[[], None]) -> None:
        """Call a function whenever the store has returned from a copy."""
        self._on_rise.append(callback)

    def is_over(self, epoch: int | None) -> bool:
        """Return whether the store has returned from a copy since an epoch."""
        return epoch is not None and self.current is not None and epoch < self.current

    def observe(self, epoch: int, source: str) -> None:
        """Learn that the store is in an epoch, or was when it answered.

        Parameters
        ----------
        epoch : int
            The epoch.
        source : str
            Who named it, for the log.
        """
        before = self.current
        if before is not None and epoch <= before:
            return
        self.current = epoch
        if before is None:
            return
        self.has_risen = True
        log_event(
            _log,
            Event.STORE_RESTORED,
            epoch=epoch,
            epoch_before=before,
            source=source,
        )
        for callback in self._on_rise:
            callback()
