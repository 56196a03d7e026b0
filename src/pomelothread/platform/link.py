"""Builds the platform adapter for the gateway."""

from collections.abc import Callable
from functools import partial

from ..gateway.platform_link import PlatformAdapter
from ..gateway.settings import GatewaySettings
from ..http1.client import ConnectionPool
from .headers import PlatformDialect
from .records import decode_configuration, decode_listing
from .store import (
    CONFIGURATION_KEY,
    CONFIGURATION_TOPIC,
    CRASH_TOPIC,
    LISTING_TOPIC,
    PART_CRASH_TOPIC,
    QUOTA_TOPIC,
    VERSION_TOPIC,
    StoreClient,
    TopicFeed,
)

READINESS_PATH = b"/v1/readiness"


def make_adapter(
    settings: GatewaySettings,
    pool: ConnectionPool,
    observe_epoch: Callable[[int], None],
) -> PlatformAdapter:
    """Return the adapter of the platform.

    Parameters
    ----------
    settings : GatewaySettings
        Settings of the gateway.
    pool : ConnectionPool
        Pool of connections to the store.
    observe_epoch : callable
        Called with the epoch that an answer of the store names.
    """
    store = StoreClient(
        settings.store_address, pool, settings.store_times.answer_s, observe_epoch
    )
    return PlatformAdapter(
        dialect=PlatformDialect(),
        configurations=TopicFeed(store, CONFIGURATION_TOPIC),
        configuration_key=CONFIGURATION_KEY,
        listings=TopicFeed(store, LISTING_TOPIC),
        crashes=TopicFeed(store, CRASH_TOPIC),
        append_crash=partial(store.append, CRASH_TOPIC),
        part_crashes=TopicFeed(store, PART_CRASH_TOPIC),
        append_part_crash=partial(store.append, PART_CRASH_TOPIC),
        quota_notes=TopicFeed(store, QUOTA_TOPIC),
        append_quota_note=partial(store.append, QUOTA_TOPIC),
        software_versions=TopicFeed(store, VERSION_TOPIC),
        append_software_versions=partial(store.append, VERSION_TOPIC),
        decode_configuration=decode_configuration,
        decode_listing=decode_listing,
        readiness_path=READINESS_PATH,
    )
