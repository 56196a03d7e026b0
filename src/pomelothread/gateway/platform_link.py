"""The interface between the gateway and the adapter of a platform."""

from collections.abc import Callable
from dataclasses import dataclass

from returns.result import Result

from .configuration import Configuration
from .dialect import Dialect
from .feeds import KeyedFeed, KeyedRecord
from .storing_again import Append
from .upstreams import UpstreamListing


@dataclass(frozen=True, slots=True)
class PlatformAdapter:
    """Feeds, writers and decoders that the adapter of a platform provides.

    Parameters
    ----------
    dialect : Dialect
        Translates headers to and from those of the platform.
    configurations : KeyedFeed
        The operator's configuration.
    configuration_key : str
        Key of the configuration in its feed.
    listings : KeyedFeed
        The list of upstreams.
    crashes : KeyedFeed
        Records that gateways write about requests that crash upstreams.
    append_crash : callable
        Appends a record to `crashes`.
    part_crashes : KeyedFeed
        Records that gateways write about parts of prompts that crash upstreams.
    append_part_crash : callable
        Appends a record to `part_crashes`; an empty value removes its key.
    quota_notes : KeyedFeed
        Records of the quota units that each gateway has admitted.
    append_quota_note : callable
        Appends a record to `quota_notes`.
    software_versions : KeyedFeed
        Record of the software versions that were listed lately.
    append_software_versions : callable
        Appends a record to `software_versions`.
    decode_configuration : callable
        Decodes a configuration.
    decode_listing : callable
        Decodes an entry of the list of upstreams.
    readiness_path : bytes
        Path that the load balancer polls for readiness.
    """

    dialect: Dialect
    configurations: KeyedFeed
    configuration_key: str
    listings: KeyedFeed
    crashes: KeyedFeed
    append_crash: Append
    part_crashes: KeyedFeed
    append_part_crash: Append
    quota_notes: KeyedFeed
    append_quota_note: Append
    software_versions: KeyedFeed
    append_software_versions: Append
    decode_configuration: Callable[[bytes], Result[Configuration, str]]
    decode_listing: Callable[[KeyedRecord], UpstreamListing | None]
    readiness_path: bytes
