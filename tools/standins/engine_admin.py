"""Management commands of the stand-in engine, with fencing tokens.

Adapters are loaded and unloaded with vLLM's calls. There is no common standard for
loading a model or changing the role; these commands follow the same form.
"""

import asyncio
from dataclasses import dataclass, field

from pomelothread.clock import Clock

from .serving import Faults, JsonHandler

FENCING_HEADER = "X-Fencing-Token"


@dataclass(slots=True)
class AdminState:
    """State that the management commands read and change.

    Parameters
    ----------
    models : list of str
        Models and adapters that are loaded.
    enforces_fencing : bool
        Whether a command is rejected if its token is older than the newest.
    load_s : float
        Duration of each command.
    """

    models: list[str]
    enforces_fencing: bool = True
    load_s: float = 0.05
    role: str = "both"
    newest_token: int = -1
    n_running: int = 0
    n_running_max: int = 0
    commands: list[dict[str, str]] = field(default_factory=list)


class AdminHandler(JsonHandler):
    """``POST /v1/COMMAND``, such as ``load_lora_adapter``."""

    def initialize(
        self, command: str, admin: AdminState, faults: Faults, clock: Clock
    ) -> None:
        """Keep the shared state."""
        self.command = command
        self.admin = admin
        self.faults = faults
        self.clock = clock

    async def post(self) -> None:
        """Execute the command unless its fencing token is stale."""
        body = self.json_body()
        if not isinstance(body, dict):
            self.send_error_text(400, "the body is not a JSON object")
            return
        token = self.request.headers.get(FENCING_HEADER, "")
        if self._is_stale(token):
            self.send_error_text(
                409, f"token {token!r} is older than {self.admin.newest_token}"
            )
            return
        if self.faults.hang:
            await asyncio.get_running_loop().create_future()
        self.admin.commands.append({"command": self.command, "token": token} | body)
        self.admin.n_running += 1
        self.admin.n_running_max = max(self.admin.n_running_max, self.admin.n_running)
        try:
            await self.clock.sleep(self.admin.load_s * self.faults.slow_factor)
        finally:
            self.admin.n_running -= 1
        status, text = self._run_command(body)
        if self.faults.close_after_effect:
            self.drop_connection()
            return
        if status != 200:
            self.send_error_text(status, text)
            return
        self.finish(text)

    def _is_stale(self, token: str) -> bool:
        """Tell whether a token is stale; remember it if it is not."""
        if not self.admin.enforces_fencing:
            return False
        number = int(token) if token.isdecimal() else -1
        if number < self.admin.newest_token:
            return True
        self.admin.newest_token = number
        return False

    def _run_command(self, body: dict[str, str]) -> tuple[int, str]:
        match self.command:
            case "load_lora_adapter":
                name = body.get("lora_name", "")
                if not name or not body.get("lora_path"):
                    return 400, "Both 'lora_name' and 'lora_path' must be provided."
                return self._load(name, "LoRA adapter")
            case "unload_lora_adapter":
                name = body.get("lora_name", "")
                if name not in self.admin.models:
                    return 404, f"The lora adapter '{name}' cannot be found."
                self.admin.models.remove(name)
                return 200, f"Success: LoRA adapter '{name}' removed successfully."
            case "load_model":
                return self._load(body.get("model", ""), "Model")
            case _:
                self.admin.role = body.get("role", "")
                return 200, f"Success: role '{self.admin.role}' set."

    def _load(self, name: str, kind: str) -> tuple[int, str]:
        if name in self.admin.models:
            return 400, f"The {kind} '{name}' has already been loaded."
        self.admin.models.append(name)
        return 200, f"Success: {kind} '{name}' added successfully."
