"""Reads the settings of a process from a file and flags; reports all errors together."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillring.kernel.bounds import Bounds
from quillring.kernel.checks import StrictValidator, parse_json
from quillring.kernel.errors import BadSetting

if TYPE_CHECKING:
    from typing import Any

    from quillring.kernel.types import Address

ADDRESS = {"type": "string", "pattern": r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$"}
SECONDS = {"type": "number", "exclusiveMinimum": 0, "maximum": 3600}
SCHEMA = {
    "type": "object",
    "additionalProperties": False,
    "required": ["name", "role", "domain", "address", "http_address", "seeds"],
    "properties": {
        "name": {
            "type": "string",
            "pattern": "^[a-z][a-z0-9-]{0,40}$",
            "description": "Name of the node, unique in the fleet.",
        },
        "role": {"enum": ["edge", "core", "store"], "description": "Role of the process."},
        "domain": {
            "type": "string",
            "pattern": "^[a-z][a-z0-9-]{0,40}$",
            "description": "Failure domain (zone) of the machine.",
        },
        "address": {**ADDRESS, "description": "IP and port of heartbeats and messages."},
        "http_address": {**ADDRESS, "description": "IP and port of the HTTP interface."},
        "seeds": {
            "type": "array",
            "items": ADDRESS,
            "minItems": 1,
            "maxItems": 3,
            "description": "Addresses of processes to contact at the start; they may fail later.",
        },
        "folder": {"type": "string", "minLength": 1, "description": "Data folder of a store."},
        "log_file": {"type": "string", "description": "File to which the ring log is written."},
        "parts": {
            "type": "integer",
            "minimum": 1,
            "maximum": 64,
            "description": "Number of parts besides the config part; read only at the founding.",
        },
        "bootstrap": {
            "type": "boolean",
            "description": "True at the first start of the fleet: the first seed founds it.",
        },
        "witness": {
            "type": "string",
            "pattern": "^[a-z][a-z0-9-]{0,40}$",
            "description": "Store on the same machine that stores this seed's founding vote.",
        },
        "losses": {
            "type": "integer",
            "minimum": 0,
            "maximum": 8,
            "description": "Number f of stores that may fail at once; each part has 2f + 1 stores.",
        },
        "decision_log_ratio": {
            "type": "number",
            "minimum": 0,
            "maximum": 1,
            "description": "Share of forwarded requests whose placement is recorded; 0: none.",
        },
        "bounds": {
            "type": "object",
            "additionalProperties": False,
            "description": "Time bounds guaranteed to users, in seconds.",
            "properties": {
                "news": SECONDS,
                "emptying": SECONDS,
                "ending": SECONDS,
                "reading": SECONDS,
                "return_": SECONDS,
                "sync": SECONDS,
                "grace": SECONDS,
                "replica_beat": SECONDS,
            },
        },
    },
}


class Settings:
    """The validated settings of one process."""

    __slots__ = (
        "name",
        "role",
        "zone",
        "address",
        "http_address",
        "seeds",
        "folder",
        "log_file",
        "parts",
        "bounds",
        "bootstrap",
        "losses",
        "witness",
        "decision_log_ratio",
    )

    def __init__(self, fields: dict[str, Any]) -> None:
        self.name: str = fields["name"]
        self.role: str = fields["role"]
        self.zone: str = fields["domain"]
        self.address = split_address(fields["address"])
        self.http_address = split_address(fields["http_address"])
        self.seeds = tuple(split_address(seed) for seed in fields["seeds"])
        self.folder: str | None = fields.get("folder")
        self.log_file: str | None = fields.get("log_file")
        self.parts: int = fields.get("parts", 4)
        self.bounds = Bounds.from_settings(fields.get("bounds", {}))
        self.bootstrap: bool = fields.get("bootstrap", False)
        self.losses: int = fields.get("losses", 1)
        self.witness: str | None = fields.get("witness")
        self.decision_log_ratio: float = fields.get("decision_log_ratio", 0.0)


def split_address(text: str) -> Address:
    """Return (host, port) for a valid "host:port" text."""
    host, port = text.rsplit(":", 1)
    return host, int(port)


def find_faults(fields: Any) -> list[str]:
    """Return a sorted list with a message for each error in the settings."""
    validator = StrictValidator(SCHEMA)
    faults = [
        f"{'.'.join(str(s) for s in error.absolute_path) or 'settings'}: {error.message}"
        for error in validator.iter_errors(fields)
    ]
    if not isinstance(fields, dict):
        return faults
    addresses = [
        fields.get("address"),
        fields.get("http_address"),
        *list_or_empty(fields.get("seeds")),
    ]
    faults.extend(
        f"address {address}: not an IPv4 address with a port from 1 to 65535"
        for address in addresses
        if isinstance(address, str) and not is_valid_address(address)
    )
    if fields.get("role") == "store" and not fields.get("folder"):
        faults.append("folder: a store needs a data folder")
    if fields.get("role") in ("edge", "core") and fields.get("folder"):
        faults.append(f"folder: a process of role {fields['role']} has no data folder")
    if fields.get("address") and fields.get("address") == fields.get("http_address"):
        faults.append("http_address: must differ from address")
    return sorted(faults)


def list_or_empty(value: Any) -> list[Any]:
    """Return the value if it is a list, otherwise an empty list."""
    return value if isinstance(value, list) else []


def is_valid_address(address: str) -> bool:
    """Return whether a text is an IPv4 address with a port from 1 to 65535."""
    host, _, port = address.rpartition(":")
    numbers = host.split(".")
    is_host = len(numbers) == 4 and all(n.isdigit() and int(n) < 256 for n in numbers)
    return is_host and port.isdigit() and 0 < int(port) < 65536


def read_settings(path: str | None, flags: dict[str, Any]) -> Settings:
    """Read a settings file, override its fields with the flags that are set, and validate them.

    Raises an ExceptionGroup of BadSetting if the file cannot be read or a field is invalid.
    """
    fields: Any = {}
    if path is not None:
        try:
            with open(path, encoding="utf-8") as settings_file:
                fields = parse_json(settings_file.read())
        except (OSError, ValueError) as error:
            fault = BadSetting(fault=f"settings file {path}: {error}")
            raise ExceptionGroup("settings", [fault]) from error
    if isinstance(fields, dict):
        fields = {**fields, **{name: value for name, value in flags.items() if value}}
    return check_settings(fields)


def check_settings(fields: Any) -> Settings:
    """Return the settings, or raise an ExceptionGroup with a BadSetting for each invalid field."""
    faults = find_faults(fields)
    if faults:
        raise ExceptionGroup("settings", [BadSetting(fault=fault) for fault in faults])
    return Settings(fields)
