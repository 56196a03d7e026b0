"""A place at the upstream, and replies to entries about places."""

from dataclasses import dataclass

from ..peers.messages import FloorRaised, Grant, Offer, Refuse, Revoked


@dataclass(frozen=True, slots=True)
class Place:
    """A concurrency slot of the upstream, held from dispatch to `Grants.release`.

    Parameters
    ----------
    grant : int
        The number of the grant that was used.
    offer : Offer
        The offer that the grant was made for.
    """

    grant: int
    offer: Offer

    @property
    def n_context_tokens(self) -> int:
        """Maximum number of context tokens that the request may use."""
        return self.offer.n_input_tokens + self.offer.n_output_tokens


@dataclass(frozen=True, slots=True)
class Reply:
    """A message for one entry, which is identified by its incarnation."""

    entry: str
    message: Grant | Refuse | Revoked | FloorRaised
