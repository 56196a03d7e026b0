"""Entries that upstreams write into the platform's store."""


def make_store_entry(
    service: str, port: int, version: str, started_ms: int, state: str, slots: int
) -> dict[str, object]:
    """Return the entry of an upstream on the loopback interface.

    Parameters
    ----------
    service : str
        Service that it belongs to.
    port : int
        Port that it listens at.
    version : str
        Version of its software.
    started_ms : int
        Start of its process as a Unix time in milliseconds.
    state : str
        What it says of itself: ``ready`` or ``draining``.
    slots : int
        Number of requests that it runs at once.
    """
    return {
        "service": service,
        "address": f"127.0.0.1:{port}",
        "zone": "zone-a",
        "version": version,
        "slots": slots,
        "state": state,
        "cold_left_ms": 0,
        "seq": 1,
        "born": started_ms,
    }
