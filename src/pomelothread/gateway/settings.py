"""Settings of a gateway process."""

from dataclasses import dataclass

from ..addresses import Address
from ..policy.quotas import QuotaTolerance
from ..policy.store_calls import CallTimes, call_times


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Who this process is, where it listens and which bounds it keeps.

    Parameters
    ----------
    instance : str
        Name of the instance.
    failure_domain : str
        Failure domain of the instance.
    region : str
        Region of the failure domain.
    regions : dict of str to str
        Region of each failure domain.
    callers_address : Address
        Where callers connect.
    admin_addresses : tuple of Address
        Where readiness and metrics are served.
    store_address : Address
        Of the platform's store.
    peer_address : Address
        UDP address for messages of other gateways.
    seed_addresses : tuple of Address
        Peers to begin with, which may be stale.
    configuration_bound_s : float
        Seconds after which a new configuration has to be in force.
    leaving_bound_s : float
        Seconds after which a leaving upstream gets no requests.
    grace_s : float
        Seconds from SIGTERM to SIGKILL.
    retry_ratio : float
        Repeats that the fleet may send for each request to a service.
    retry_stock : float
        Repeats that the fleet may send beyond that in a window.
    retry_window_s : float
        Length of that window.
    quota_tolerance : QuotaTolerance
        How operators measure quotas.
    """

    instance: str
    failure_domain: str
    region: str
    regions: dict[str, str]
    callers_address: Address
    admin_addresses: tuple[Address, ...]
    store_address: Address
    peer_address: Address
    seed_addresses: tuple[Address, ...]
    configuration_bound_s: float
    leaving_bound_s: float
    grace_s: float
    retry_ratio: float
    retry_stock: float
    retry_window_s: float
    quota_tolerance: QuotaTolerance

    @property
    def store_times(self) -> CallTimes:
        """Limits of calls to the store, for all feeds."""
        return call_times(min(self.configuration_bound_s, self.leaving_bound_s))
