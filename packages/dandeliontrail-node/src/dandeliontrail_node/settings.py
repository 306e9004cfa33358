"""The settings of one instance, read from YAML and validated.

The docstring of each section gives the meaning and the unit of its fields.
Every invalid setting raises :class:`dandeliontrail.SettingsError`, whose
message names the key, the value, the allowed values and the remedy.
"""

import ipaddress
import math
import pathlib
import re

import msgspec

import dandeliontrail
from dandeliontrail.decisions import client_limits

from . import settings_errors

ADDRESS = re.compile(r"(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}")
NAME = re.compile(r"[A-Za-z0-9]([A-Za-z0-9._-]{0,62})")
LISTENERS = ("callers", "backend_servers", "operators", "peers")
MAX_PORT = 65535
LEVELS = ("debug", "info", "warning", "error")


class Listen(msgspec.Struct, forbid_unknown_fields=True):
    """``IP:port`` of each listener; port 0 picks a free one.

    ``peers_advertised`` is the address at which other instances reach the
    peer listener, if it is behind something that forwards connections.
    """

    callers: str
    backend_servers: str
    operators: str
    peers: str
    peers_advertised: str = ""


class Keeper(msgspec.Struct, forbid_unknown_fields=True):
    """The data folder of a keeper; only for an instance with a disk."""

    data_dir: str


class Credentials(msgspec.Struct, forbid_unknown_fields=True):
    """Files with the secrets of each listener.

    ``open`` lists the listeners that deliberately accept everyone.
    """

    peer_key_file: str = ""
    operator_tokens_file: str = ""
    backend_tokens_file: str = ""
    open: list[str] = []


class Tls(msgspec.Struct, forbid_unknown_fields=True):
    """Certificate and key files of one listener, in PEM.

    With ``client_ca``, clients must present a certificate signed by that CA.
    """

    certificate: str
    key: str
    client_ca: str = ""


class LogSettings(msgspec.Struct, forbid_unknown_fields=True):
    """``level`` is the lowest level of the log lines that are written."""

    level: str = "info"


class LimitSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Limits on the resources that callers may use.

    ``body_bytes`` and ``header_bytes`` limit the two parts of a request;
    ``header_seconds`` and ``body_seconds`` limit the time for receiving them,
    ``idle_seconds`` the time that a connection stays open between two
    requests, and ``write_seconds`` the time in which a caller reads nothing
    of its answer.  ``connections`` limits the open connections of each
    listener.  ``memory_bytes`` and ``descriptors`` are what the process may
    use in all; what clients may use of them is derived
    (:mod:`dandeliontrail.decisions.client_limits`).  With 0 descriptors the
    limit of the process counts.
    ``drain_notice_seconds`` is how long a draining instance still accepts new
    requests, until the platform's load balancer has noticed;
    ``drain_seconds`` is the maximum duration of a drain, after which callers
    have ``last_words_seconds`` to receive the outcome of their requests.
    ``second_signal_ends_drain`` says whether a further SIGTERM ends it at
    once; where a platform may send several, it must not cut answers.
    ``backend_silent_seconds`` and ``connect_seconds`` limit the silence of a
    backend server and the time for connecting to it.
    ``peer_bytes_per_second`` is the budget for messages to other instances;
    beyond it load reports and repairs are dropped.
    """

    body_bytes: int = 8 * 1024 * 1024
    header_bytes: int = 64 * 1024
    header_seconds: float = 10.0
    idle_seconds: float = 120.0
    write_seconds: float = 60.0
    body_seconds: float = 30.0
    connections: int = 4096
    memory_bytes: int = 1024 * 1024 * 1024
    descriptors: int = 0
    drain_notice_seconds: float = 5.0
    drain_seconds: float = 300.0
    last_words_seconds: float = 1.0
    second_signal_ends_drain: bool = True
    backend_silent_seconds: float = 30.0
    connect_seconds: float = 1.0
    peer_bytes_per_second: int = 64 * 1024


class Settings(msgspec.Struct, forbid_unknown_fields=True):
    """All settings of one instance, as written in the settings file."""

    instance: str
    failure_domain: str
    region: str
    listen: Listen
    peers: list[str] = []
    keeper: Keeper | None = None
    bootstrap_keepers: list[str] = []
    credentials: Credentials = msgspec.field(default_factory=Credentials)
    tls: dict[str, Tls] = {}
    log: LogSettings = msgspec.field(default_factory=LogSettings)
    limits: LimitSettings = msgspec.field(default_factory=LimitSettings)


def load(path):
    """Read, validate and return the settings in the file at ``path``."""
    return parse(read_file(path))


def read_file(path):
    """Return the text of a settings file of any format."""
    try:
        return pathlib.Path(path).read_text()
    except OSError as exc:
        raise dandeliontrail.SettingsError(
            f"{path} cannot be read: {exc.strerror}.",
            "give the path of a settings file that this user may read",
        )


def parse(text):
    """Parse, validate and return the settings in the YAML ``text``."""
    # Imported here, since programs whose settings have another format do not
    # need it: the import takes 17 ms of the 290 ms of a start.
    import yaml

    try:
        loaded = yaml.safe_load(text)
    except yaml.YAMLError as exc:
        raise dandeliontrail.SettingsError(
            f"The file is not valid YAML: {' '.join(str(exc).split())}.",
            "correct it at the line given",
        )
    try:
        cfg = msgspec.convert(loaded, Settings)
    except msgspec.ValidationError as exc:
        raise settings_errors.from_validation_error(exc, loaded, Settings)
    _validate(cfg)
    return cfg


def _require(is_valid, key, value, allowed, remedy):
    if not is_valid:
        raise dandeliontrail.SettingsError(
            f"{key} is {value!r}; allowed: {allowed}.", remedy
        )


def _validate(cfg):
    for key in ("instance", "failure_domain", "region"):
        value = getattr(cfg, key)
        _require(
            NAME.fullmatch(value),
            key,
            value,
            "1 to 63 letters, digits, dots, underscores and hyphens",
            "give it a name of that form",
        )
    for key in LISTENERS:
        _validate_address(f"listen.{key}", getattr(cfg.listen, key))
    if cfg.listen.peers_advertised:
        _validate_address(
            "listen.peers_advertised", cfg.listen.peers_advertised
        )
    for index, value in enumerate(cfg.peers):
        _validate_address(f"peers[{index}]", value)
    _require(
        cfg.log.level in LEVELS,
        "log.level",
        cfg.log.level,
        ", ".join(LEVELS),
        "use one of these",
    )
    _validate_limits(cfg.limits)
    _validate_credentials(cfg.credentials)
    for key in cfg.tls:
        _require(
            key in LISTENERS,
            "tls",
            key,
            ", ".join(LISTENERS),
            "name a listener",
        )
    for index, value in enumerate(cfg.bootstrap_keepers):
        _require(
            NAME.fullmatch(value),
            f"bootstrap_keepers[{index}]",
            value,
            "the name of an instance",
            "name an instance that has a keeper section",
        )
    _require(
        cfg.keeper is None or cfg.keeper.data_dir,
        "keeper.data_dir",
        "",
        "the path of a folder",
        "name the folder, or leave keeper out on an instance without disk",
    )


def _validate_address(key, value):
    _require(
        _is_address(value),
        key,
        value,
        "IP:port with a port from 0 to 65535",
        "give the address by number, as in 10.0.0.1:8000",
    )


def _is_address(value):
    if not ADDRESS.fullmatch(value):
        return False
    host, port = value.rsplit(":", 1)
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return False
    return int(port) <= MAX_PORT


def _validate_limits(limits):
    for key in limits.__struct_fields__:
        value = getattr(limits, key)
        may_be_zero = key.startswith("drain") or key == "descriptors"
        in_range = value >= 0 if may_be_zero else value > 0
        _require(
            in_range and math.isfinite(value),
            f"limits.{key}",
            value,
            "a number from 0 up" if may_be_zero else "a number above 0",
            "give a larger number, or leave the key out for its default",
        )
    _validate_resources(limits)


def _validate_resources(limits):
    """Check that one request of the largest size can be held in calm."""
    _require(
        limits.memory_bytes >= client_limits.MIN_MEMORY_BYTES,
        "limits.memory_bytes",
        limits.memory_bytes,
        f"a number from {client_limits.MIN_MEMORY_BYTES} up",
        "give the instance more memory",
    )
    _require(
        limits.descriptors == 0
        or limits.descriptors >= client_limits.MIN_DESCRIPTORS,
        "limits.descriptors",
        limits.descriptors,
        f"0, or a number from {client_limits.MIN_DESCRIPTORS} up",
        "give the instance more descriptors, or leave the key out",
    )
    # A body may be written anew for an engine.
    largest = (
        client_limits.derive(
            limits.memory_bytes, client_limits.MIN_DESCRIPTORS
        ).largest_body()
        // 2
    )
    _require(
        limits.body_bytes <= largest,
        "limits.body_bytes",
        limits.body_bytes,
        f"at most {largest}, with limits.memory_bytes {limits.memory_bytes}",
        "raise limits.memory_bytes, or lower limits.body_bytes",
    )


def _validate_credentials(credentials):
    may_be_open = LISTENERS[1:]
    for name in credentials.open:
        _require(
            name in may_be_open,
            "credentials.open",
            name,
            ", ".join(may_be_open),
            "name only listeners that may be left open",
        )
    files = {
        "backend_servers": "backend_tokens_file",
        "operators": "operator_tokens_file",
        "peers": "peer_key_file",
    }
    for listener, key in files.items():
        value = getattr(credentials, key)
        _require(
            value or listener in credentials.open,
            f"credentials.{key}",
            value,
            f"a file, unless credentials.open names {listener}",
            f"name the file, or add {listener} to credentials.open",
        )
