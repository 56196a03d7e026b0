"""Management commands to the engine beside an agent, one at a time."""

import asyncio
import hashlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import msgspec

from ..clock import Clock
from ..peers.http_exchange import (
    ExchangeClient,
    NotConnected,
    ResponseHead,
)
from ..undecodable import UNDECODABLE

FENCING_HEADER = "X-Fencing-Token"
MODELS_PATH = "/v1/models"
TIMEOUT_S = 2.0

# Loading a large model from the weight store takes minutes.
COMMAND_TIMEOUT_S = 900.0
MAX_ANSWER_BYTES = 1_048_576


@dataclass(frozen=True, slots=True)
class LoadAdapter:
    """Load a LoRA adapter; `path` is its location in the weight store."""

    name: str
    path: str


@dataclass(frozen=True, slots=True)
class UnloadAdapter:
    """Unload a LoRA adapter."""

    name: str


@dataclass(frozen=True, slots=True)
class LoadModel:
    """Load a model or another version of it."""

    name: str
    version: str = ""


@dataclass(frozen=True, slots=True)
class ChangeRole:
    """Change the engine's role, such as ``prefill`` or ``decode``."""

    role: str


Command = LoadAdapter | UnloadAdapter | LoadModel | ChangeRole


@dataclass(frozen=True, slots=True)
class Applied:
    """The engine executed the command, or is already in the wanted state."""


@dataclass(frozen=True, slots=True)
class FencedOff:
    """The engine rejected the command, as it has accepted one of a newer sheet."""

    detail: str


@dataclass(frozen=True, slots=True)
class Outdated:
    """The sheet changed while the command waited; it was not sent."""

    sheet_version: int


@dataclass(frozen=True, slots=True)
class Rejected:
    """The engine answered with an error and did not execute the command."""

    status: int
    detail: str


@dataclass(frozen=True, slots=True)
class NotSent:
    """The engine could not be reached."""

    detail: str


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The answer was lost or a server error; the engine may have executed it."""

    detail: str


CommandResult = Applied | FencedOff | Outdated | Rejected | NotSent | OutcomeUnknown


class _Model(msgspec.Struct):
    id: str


class _ModelList(msgspec.Struct):
    data: list[_Model]


_models_decoder = msgspec.json.Decoder(_ModelList)


def start_delay_s(
    instance: str, instances: Iterable[str], artefact: str, interval_s: float
) -> float:
    """Return how long an instance waits before it loads an artefact.

    All instances receive a new sheet at the same time, and the weight store is
    rate-limited. The instances therefore start one after the other, ordered by
    a hash that gives another order for each artefact.

    Parameters
    ----------
    instance : str
        Name of the own instance.
    instances : iterable of str
        Names of all instances that load the artefact.
    artefact : str
        Name and version of what is loaded.
    interval_s : float
        Time that the weight store needs between two starts.

    Returns
    -------
    float
        Delay in seconds, from 0 to (number of instances - 1) intervals.

    Examples
    --------
    >>> names = ["a", "b", "c"]
    >>> sorted(start_delay_s(name, names, "m-2", 4.0) for name in names)
    [0.0, 4.0, 8.0]
    """
    own_key = _slot_key(instance, artefact)
    keys = {_slot_key(name, artefact) for name in instances}
    return interval_s * sum(1 for key in keys if key < own_key)


def _slot_key(instance: str, artefact: str) -> bytes:
    text = f"{artefact}\0{instance}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()


class EngineManager:
    """Issues commands to one engine.

    Only the agent process in the engine's slot may use a manager, since some
    engines ignore fencing tokens.

    Parameters
    ----------
    client : ExchangeClient
        Client for requests to the engine.
    url : str
        Base URL of the engine.
    clock : Clock
        Clock for delays.
    sheet_version : callable
        Returns the version of the sheet in force, which is the fencing token.
    """

    __slots__ = ("_client", "_clock", "_lock", "_sheet_version", "_url")

    def __init__(
        self,
        client: ExchangeClient,
        url: str,
        clock: Clock,
        sheet_version: Callable[[], int],
    ) -> None:
        self._client = client
        self._clock = clock
        self._lock = asyncio.Lock()
        self._sheet_version = sheet_version
        self._url = url.rstrip("/")

    async def issue(
        self, command: Command, sheet_version: int, delay_s: float = 0.0
    ) -> CommandResult:
        """Execute one command; further ones wait until it has finished.

        Parameters
        ----------
        command : Command
            Command to execute.
        sheet_version : int
            Version of the sheet that requires the command.
        delay_s : float, default 0.0
            Wait before the start, from `start_delay_s`.

        Returns
        -------
        CommandResult
            What is known about the outcome. A command that was rejected, or whose
            outcome is unknown, counts as applied if the engine's list of models
            shows the wanted state. The list contains only names, so a new version
            of an adapter needs a new name.
        """
        if delay_s:
            await self._clock.sleep(delay_s)
        async with self._lock:
            # Checked just before sending: the sheet may have changed while waiting.
            if self._sheet_version() != sheet_version:
                return Outdated(self._sheet_version())
            result = await self._send(command, sheet_version)
            if not isinstance(result, OutcomeUnknown | Rejected):
                return result
            if await self._is_in_effect(command):
                return Applied()
            return result

    async def models(self) -> frozenset[str] | None:
        """Return the models and adapters that the engine lists; None if unknown."""
        exchange = self._client.open_exchange(
            "GET", self._url + MODELS_PATH, {}, total_timeout_s=TIMEOUT_S
        )
        head = await exchange.head()
        body = await exchange.read_whole(MAX_ANSWER_BYTES)
        if not isinstance(head, ResponseHead) or not isinstance(body, bytes):
            return None
        if head.status != 200:
            return None
        try:
            listed = _models_decoder.decode(body)
        except UNDECODABLE:
            return None
        return frozenset(model.id for model in listed.data)

    async def _send(self, command: Command, fencing_token: int) -> CommandResult:
        path, body = _endpoint_and_body(command)
        exchange = self._client.open_exchange(
            "POST",
            self._url + path,
            {"Content-Type": "application/json", FENCING_HEADER: str(fencing_token)},
            msgspec.json.encode(body),
            total_timeout_s=COMMAND_TIMEOUT_S,
        )
        try:
            head = await exchange.head()
            answer = await exchange.read_whole(MAX_ANSWER_BYTES)
        finally:
            exchange.cancel()
        match head:
            case ResponseHead(status=status):
                text = (
                    answer.decode("utf-8", "replace")[:200]
                    if isinstance(answer, bytes)
                    else str(answer)
                )
                return _result_from_status(status, text)
            case NotConnected(detail=detail):
                return NotSent(detail)
            case end:
                return OutcomeUnknown(str(end))

    async def _is_in_effect(self, command: Command) -> bool:
        """Check a command's effect; False if the engine's list cannot show it."""
        if isinstance(command, ChangeRole) or (
            isinstance(command, LoadModel) and command.version
        ):
            return False
        models = await self.models()
        if models is None:
            return False
        is_listed = command.name in models
        return not is_listed if isinstance(command, UnloadAdapter) else is_listed


def _endpoint_and_body(command: Command) -> tuple[str, dict[str, str]]:
    match command:
        case LoadAdapter(name, path):
            return "/v1/load_lora_adapter", {"lora_name": name, "lora_path": path}
        case UnloadAdapter(name):
            return "/v1/unload_lora_adapter", {"lora_name": name}
        case LoadModel(name, version):
            return "/v1/load_model", {"model": name, "version": version}
        case ChangeRole(role):
            return "/v1/change_role", {"role": role}


def _result_from_status(status: int, text: str) -> CommandResult:
    if 200 <= status < 300:
        return Applied()
    if status in (409, 412):
        return FencedOff(text)
    if 400 <= status < 500:
        return Rejected(status, text)
    return OutcomeUnknown(f"status {status}: {text}")
