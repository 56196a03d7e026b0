"""Settings of a gateway process."""

from dataclasses import dataclass

from ..addresses import Address
from ..policy.quotas import QuotaTolerance
from ..policy.store_calls import CallTimes, call_times


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Identity, addresses and time limits of a gateway process.

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
        Address on which callers connect.
    admin_addresses : tuple of Address
        Addresses on which readiness and metrics are served.
    store_address : Address
        Address of the platform's store.
    peer_address : Address
        UDP address on which messages of other gateways are received.
    seed_addresses : tuple of Address
        Addresses of the first peers to contact; some may no longer exist.
    configuration_bound_s : float
        Seconds within which a new configuration has to be in force.
    leaving_bound_s : float
        Seconds after which a leaving upstream must get no more requests.
    grace_s : float
        Seconds between SIGTERM and SIGKILL.
    retry_ratio : float
        Retries that the fleet may send for each request to a service.
    retry_stock : float
        Further retries that the fleet may send in a window.
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
        """Timeouts of calls to the store, strict enough for all feeds."""
        return call_times(min(self.configuration_bound_s, self.leaving_bound_s))
