"""A place at the upstream, and what entries are told about places."""

from dataclasses import dataclass

from ..peers.messages import FloorRaised, Grant, Offer, Refuse, Revoked


@dataclass(frozen=True, slots=True)
class Place:
    """A place that a dispatched request holds until `Grants.release`.

    Parameters
    ----------
    grant : int
        The number of the grant that was used.
    offer : Offer
        The request that it was made for.
    """

    grant: int
    offer: Offer

    @property
    def n_context_tokens(self) -> int:
        """Tokens of context that the request may come to hold."""
        return self.offer.n_input_tokens + self.offer.n_output_tokens


@dataclass(frozen=True, slots=True)
class Reply:
    """A message for one entry, named by its incarnation."""

    entry: str
    message: Grant | Refuse | Revoked | FloorRaised
