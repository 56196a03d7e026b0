"""Settings of an entry and of an agent, read from a TOML file.

Each process reads its file once, when it starts. Whatever operators change at run
time is in the planning sheet instead.
"""

import sys
import tomllib
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, NoReturn, TypeVar

from returns.result import Failure, Result, Success

from .settings_fields import (
    SettingFault,
    address_field,
    choice_field,
    flag_field,
    integer_field,
    number_field,
    path_field,
    read_table,
    text_field,
    url_field,
)

EXIT_SETTINGS = 2

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Identity and location of the process.

    Parameters
    ----------
    instance : str
        Name of the instance, unique in the fleet.
    failure_domain : str
        Failure domain of the instance.
    region : str
        Region of the failure domain.
    """

    instance: str = text_field()
    failure_domain: str = text_field()
    region: str = text_field()


@dataclass(frozen=True, slots=True)
class LoggingSettings:
    """Level and format of the log on stderr.

    Parameters
    ----------
    level : str
        Lowest level that is written.
    format : str
        ``json`` (one object a line) or ``text``.
    """

    level: str = choice_field("debug", "info", "warning", "error", default="info")
    format: str = choice_field("json", "text", default="json")


@dataclass(frozen=True, slots=True)
class TracingSettings:
    """Destinations of spans; tracing is off if both are empty.

    Parameters
    ----------
    otlp_endpoint : str
        URL of an OTLP/HTTP collector, with its path, or "".
    sample_ratio : float
        Fraction of the requests without a sampling decision of their caller
        that are traced.
    span_file : str
        File that finished spans are appended to as JSON lines, or "".
    """

    otlp_endpoint: str = url_field(ip_only=False, optional=True)
    sample_ratio: float = number_field(0, 1, default=0.01)
    span_file: str = path_field(default="")


@dataclass(frozen=True, slots=True, kw_only=True)
class EntrySettings:
    """Settings of an entry.

    Parameters
    ----------
    http_address : str
        ``ip:port`` for callers; the address may be unspecified.
    control_address : str
        ``ip:port`` that receives control messages. Agents connect to this very
        address, so it must not be unspecified.
    log_address : str
        ``ip:port`` of the platform's log.
    instance_list_address : str
        ``ip:port`` of the platform's instance list.
    node : NodeSettings
        Table ``[node]``.
    max_waiting : int
        Number of requests that may wait at once.
    max_waiting_bytes : int
        Total size of the bodies of the waiting requests.
    max_running : int
        Number of requests that may run at agents at once; 4 KiB is allocated for
        each at the start.
    drain_accept_s : float
        How long requests are still accepted after SIGTERM, since the load
        balancer notices the failing readiness check with a delay.
    log_retention_s : float
        How long the platform's log keeps a record.
    logging : LoggingSettings
        Table ``[logging]``.
    tracing : TracingSettings
        Table ``[tracing]``.
    """

    http_address: str = address_field(listening=True, reachable=False)
    control_address: str = address_field(listening=True)
    log_address: str = address_field()
    instance_list_address: str = address_field()
    node: NodeSettings
    max_waiting: int = integer_field(1, 1_000_000, default=4096)
    max_waiting_bytes: int = integer_field(
        1_048_576, 17_179_869_184, default=268_435_456
    )
    max_running: int = integer_field(1, 65_536, default=512)
    drain_accept_s: float = number_field(0, 600, default=5)
    log_retention_s: float = number_field(60, 31_536_000, default=172_800)
    logging: LoggingSettings
    tracing: TracingSettings


@dataclass(frozen=True, slots=True)
class UpstreamSettings:
    """The upstream that an agent manages.

    Parameters
    ----------
    kind : str
        ``model`` for an engine, ``plain`` for another HTTP service.
    url : str
        ``http://ip:port``, without a final slash.
    cache_events : str
        ``ip:port`` of the engine's ZeroMQ publisher of cache events, or "".
    enforces_fencing : bool
        Whether the upstream rejects commands with an old fencing token.
    load_interval_s : float
        Minimum time between the starts of two loads, for the weight store.
    """

    kind: str = choice_field("model", "plain")
    url: str = url_field(ip_only=True)
    cache_events: str = address_field(optional=True)
    enforces_fencing: bool = flag_field(default=False)
    load_interval_s: float = number_field(0, 3600, default=5)


@dataclass(frozen=True, slots=True)
class PlaceSettings:
    """Bounds of the number of requests that run at once on the upstream.

    Parameters
    ----------
    initial : int
        Number of places at the start.
    minimum, maximum : int
        Bounds of the automatic adjustment.
    max_context_tokens : int
        Maximum sum of prompt and output tokens of all running requests.
    target_token_gap_s : float
        Time between two tokens of a stream above which places are removed.
    reserved_share : float
        Fraction of the places that only protected tiers may use.
    """

    initial: int = integer_field(1, 4096, default=8)
    minimum: int = integer_field(1, 4096, default=1)
    maximum: int = integer_field(1, 4096, default=64)
    max_context_tokens: int = integer_field(1, 100_000_000, default=262_144)
    target_token_gap_s: float = number_field(0.001, 10, default=0.041)
    reserved_share: float = number_field(0, 0.9, default=0.1)


@dataclass(frozen=True, slots=True)
class ClaimSettings:
    """Settings of the claims of idempotency keys in the log.

    Parameters
    ----------
    retention_s : float
        How long the log keeps a record; claims that must live longer are appended
        again before it is deleted.
    confirm_timeout_s : float
        How long a claim waits to be read back before the order is answered
        "not run".
    """

    retention_s: float = number_field(60, 31_536_000, default=172_800)
    confirm_timeout_s: float = number_field(0.05, 60, default=2)


@dataclass(frozen=True, slots=True, kw_only=True)
class AgentSettings:
    """Settings of an agent.

    Parameters
    ----------
    http_address : str
        ``ip:port`` that entries dispatch to. Heartbeats contain this very address,
        so it must not be unspecified.
    control_address : str
        ``ip:port`` that receives control messages, as for an entry.
    log_address : str
        ``ip:port`` of the platform's log.
    instance_list_address : str
        ``ip:port`` of the platform's instance list.
    pool : str
        Pool of upstreams, as named in the sheet.
    node : NodeSettings
        Table ``[node]``.
    upstream : UpstreamSettings
        Table ``[upstream]``.
    places : PlaceSettings
        Table ``[places]``.
    claims : ClaimSettings
        Table ``[claims]``.
    logging : LoggingSettings
        Table ``[logging]``.
    tracing : TracingSettings
        Table ``[tracing]``.
    """

    http_address: str = address_field(listening=True)
    control_address: str = address_field(listening=True)
    log_address: str = address_field()
    instance_list_address: str = address_field()
    pool: str = text_field()
    node: NodeSettings
    upstream: UpstreamSettings
    places: PlaceSettings
    claims: ClaimSettings
    logging: LoggingSettings
    tracing: TracingSettings


def load_entry_settings(path: Path) -> Result[EntrySettings, list[SettingFault]]:
    """Read the settings of an entry.

    Parameters
    ----------
    path : Path
        The TOML file.

    Returns
    -------
    Result of EntrySettings or list of SettingFault
        The settings, or every fault of the file.
    """
    return _load(path, EntrySettings)


def load_agent_settings(path: Path) -> Result[AgentSettings, list[SettingFault]]:
    """Read the settings of an agent.

    Parameters
    ----------
    path : Path
        The TOML file.

    Returns
    -------
    Result of AgentSettings or list of SettingFault
        The settings, or every fault of the file.
    """
    return _load(path, AgentSettings).bind(
        lambda settings: _check_places(settings, str(path))
    )


def settings_or_exit(
    load: Callable[[Path], Result[T, list[SettingFault]]], path: Path
) -> T:
    """Return the settings, or print every fault and end the process.

    Parameters
    ----------
    load : callable
        `load_entry_settings` or `load_agent_settings`.
    path : Path
        The TOML file.

    Returns
    -------
    object
        The settings. With faults, they are printed to stderr and the process
        exits with `EXIT_SETTINGS`.
    """
    loaded = load(path)
    if isinstance(loaded, Failure):
        exit_with_faults(loaded.failure())
    return loaded.unwrap()


def exit_with_faults(faults: list[SettingFault]) -> NoReturn:
    """Print every fault to stderr and exit with `EXIT_SETTINGS`.

    Parameters
    ----------
    faults : list of SettingFault
        Faults of the settings.
    """
    for fault in faults:
        print(fault, file=sys.stderr)
    noun = "fault" if len(faults) == 1 else "faults"
    print(f"{len(faults)} {noun} in the settings; not started", file=sys.stderr)
    raise SystemExit(EXIT_SETTINGS)


def _load(path: Path, cls: type[Any]) -> Result[Any, list[SettingFault]]:
    try:
        table: dict[str, Any] = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        reason = error.strerror or type(error).__name__
        fault = SettingFault(
            str(path), "", reason, "a readable file", "check path and permissions"
        )
        return Failure([fault])
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        fault = SettingFault(
            str(path), "", str(error), "TOML in UTF-8", "correct the syntax"
        )
        return Failure([fault])
    return read_table(cls, table, str(path))


def _check_places(
    settings: AgentSettings, path: str
) -> Result[AgentSettings, list[SettingFault]]:
    places = settings.places
    if places.minimum <= places.initial <= places.maximum:
        return Success(settings)
    given = f"{places.minimum}, {places.initial}, {places.maximum}"
    fault = SettingFault(
        path,
        "places",
        f"minimum, initial, maximum = {given}",
        "minimum <= initial <= maximum",
        "set all three keys, since the defaults of absent ones count",
    )
    return Failure([fault])
