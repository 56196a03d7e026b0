"""What the adapter of a platform provides to the gateway."""

from collections.abc import Callable
from dataclasses import dataclass

from returns.result import Result

from .configuration import Configuration
from .crashes import Append
from .dialect import Dialect
from .feeds import KeyedFeed, KeyedRecord
from .upstreams import UpstreamListing


@dataclass(frozen=True, slots=True)
class PlatformLink:
    """What the adapter of a platform provides.

    Parameters
    ----------
    dialect : Dialect
        Translates headers.
    configurations : KeyedFeed
        Operators' configuration.
    configuration_key : str
        Its key in the feed.
    listings : KeyedFeed
        List of upstreams.
    crashes : KeyedFeed
        What gateways have written of requests that crash upstreams.
    append_crash : callable
        Writes to that feed.
    quota_notes : KeyedFeed
        What gateways have noted of the use of quotas.
    append_quota_note : callable
        Writes to that feed.
    decode_configuration : callable
        Decodes a configuration.
    decode_listing : callable
        Decodes an entry of the list.
    readiness_path : bytes
        Where the balancer asks.
    """

    dialect: Dialect
    configurations: KeyedFeed
    configuration_key: str
    listings: KeyedFeed
    crashes: KeyedFeed
    append_crash: Append
    quota_notes: KeyedFeed
    append_quota_note: Append
    decode_configuration: Callable[[bytes], Result[Configuration, str]]
    decode_listing: Callable[[KeyedRecord], UpstreamListing | None]
    readiness_path: bytes
