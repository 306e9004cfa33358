"""Options shared by all commands, and the config file with their defaults.

Command-line options override the config file, which overrides the built-in
defaults.  The config file is ``--config``, else ``$DANDELIONCTL_CONFIG``,
else ``~/.config/dandelionctl.yaml`` if that exists::

    servers: [http://10.40.1.11:8002, http://10.40.2.11:8002]
    token_file: /home/on-call/token
"""

import dataclasses
import enum
import os
import pathlib
import typing

import cyclopts
import dandeliontrail
import msgspec
import rich.console
import yaml

from . import api

DEFAULT_SERVER = "http://127.0.0.1:8002"
CONFIG_VARIABLE = "DANDELIONCTL_CONFIG"
CONFIG_PATH = "~/.config/dandelionctl.yaml"

# The ``-f``/``--file`` option: a YAML file, or a folder of YAML files.
FileOption = typing.Annotated[
    pathlib.Path, cyclopts.Parameter(name=["-f", "--file"])
]


class Output(enum.Enum):
    """Output format."""

    TABLE = "table"
    JSON = "json"
    YAML = "yaml"


class ConfigFile(msgspec.Struct, forbid_unknown_fields=True):
    """The contents of the config file."""

    servers: list[str] = []
    token_file: str = ""


@cyclopts.Parameter(name="*")
@dataclasses.dataclass(slots=True)
class Target:
    """The instances to connect to, and the credentials for them.

    Parameters
    ----------
    server
        URL of an instance's operators listener; can be repeated.
    token_file
        File that contains the bearer token.
    config
        YAML file with defaults for ``servers`` and ``token_file``.
    """

    server: typing.Annotated[
        list[str], cyclopts.Parameter(negative_iterable=())
    ] = dataclasses.field(default_factory=list)
    token_file: str = ""
    config: str = ""

    def api(self):
        """Return a client for the first given instance."""
        return self.apis()[0]

    def apis(self):
        """Return a client for each given instance."""
        config_file = load_config(self.config)
        servers = self.server or config_file.servers or [DEFAULT_SERVER]
        token = _read_token(self.token_file or config_file.token_file)
        return [api.Api(_validate_url(server), token) for server in servers]


def load_config(path):
    """Return the config file at ``path``, or at a default location.

    Raises :class:`dandeliontrail.SettingsError` if it cannot be read or is
    invalid.
    """
    explicit_path = path or os.environ.get(CONFIG_VARIABLE, "")
    file = pathlib.Path(explicit_path or CONFIG_PATH).expanduser()
    if not explicit_path and not file.exists():
        return ConfigFile()
    try:
        return msgspec.convert(yaml.safe_load(file.read_text()), ConfigFile)
    except (OSError, yaml.YAMLError, msgspec.ValidationError) as exc:
        raise dandeliontrail.SettingsError(
            f"{file}: {' '.join(str(exc).split())}.",
            "write servers (a list of URLs) and token_file, or name another"
            " file with --config",
        )


def _read_token(path):
    if not path:
        return ""
    try:
        return pathlib.Path(path).expanduser().read_text().strip()
    except OSError as exc:
        raise dandeliontrail.SettingsError(
            f"--token-file {path} cannot be read: {exc.strerror}.",
            "give the path of a file that holds the token alone",
        )


def _validate_url(server):
    if server.startswith(("http://", "https://")):
        return server
    raise dandeliontrail.SettingsError(
        f"--server is {server!r}; allowed: a URL with http or https.",
        f"write it as in {DEFAULT_SERVER}",
    )


def show(value, output, to_table):
    """Print ``value`` in the given format; ``to_table`` renders a table."""
    if output is Output.JSON:
        print(msgspec.json.format(msgspec.json.encode(value)).decode())
    elif output is Output.YAML:
        plain = msgspec.to_builtins(value)
        print(yaml.safe_dump(plain, sort_keys=False), end="")
    else:
        console().print(to_table(value))


def console():
    """Return a console; one wide enough not to truncate if not a terminal."""
    terminal = rich.console.Console()
    if terminal.is_terminal:
        return terminal
    return rich.console.Console(width=NON_TERMINAL_WIDTH)


NON_TERMINAL_WIDTH = 200
