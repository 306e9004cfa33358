"""The options that all commands share, and the file with their defaults.

An option on the command line goes before the file, and the file before the
built-in default.  The file is ``--config``, or ``$DANDELIONCTL_CONFIG``, or
``~/.config/dandelionctl.yaml`` where there is one::

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


class Output(enum.Enum):
    """How results are printed."""

    TABLE = "table"
    JSON = "json"
    YAML = "yaml"


class ConfigFile(msgspec.Struct, forbid_unknown_fields=True):
    """What the config file may hold."""

    servers: list[str] = []
    token_file: str = ""


@cyclopts.Parameter(name="*")
@dataclasses.dataclass(slots=True)
class Target:
    """Which instances to ask, and as whom.

    Parameters
    ----------
    server
        URL of an instance's operators listener; may be given more than once.
    token_file
        File with the bearer token.
    config
        YAML file with ``servers`` and ``token_file``.
    """

    server: typing.Annotated[
        list[str], cyclopts.Parameter(negative_iterable=())
    ] = dataclasses.field(default_factory=list)
    token_file: str = ""
    config: str = ""

    def api(self):
        """Return the API of the first instance named."""
        return self.apis()[0]

    def apis(self):
        """Return the API of every instance named."""
        held = load_config(self.config)
        servers = self.server or held.servers or [DEFAULT_SERVER]
        token = _read_token(self.token_file or held.token_file)
        return [api.Api(_checked(server), token) for server in servers]


def load_config(path):
    """Return the config file at ``path``, or at its customary places."""
    named = path or os.environ.get(CONFIG_VARIABLE, "")
    file = pathlib.Path(named or CONFIG_PATH).expanduser()
    if not named and not file.exists():
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


def _checked(server):
    if server.startswith(("http://", "https://")):
        return server
    raise dandeliontrail.SettingsError(
        f"--server is {server!r}; allowed: a URL with http or https.",
        f"write it as in {DEFAULT_SERVER}",
    )


def show(value, output, table):
    """Print ``value`` in the chosen form; ``table`` makes it a table."""
    if output is Output.JSON:
        print(msgspec.json.format(msgspec.json.encode(value)).decode())
    elif output is Output.YAML:
        plain = msgspec.to_builtins(value)
        print(yaml.safe_dump(plain, sort_keys=False), end="")
    else:
        console().print(table(value))


def console():
    """Return a console that cuts nothing off where no one is looking."""
    made = rich.console.Console()
    if made.is_terminal:
        return made
    return rich.console.Console(width=WIDE)


WIDE = 200
