"""Shared by all commands: arguments, output, and access to store and instances."""

import collections.abc
import getpass
import pathlib
import ssl
import sys
import time
import typing

import aiohttp
import attrs
from masticpost_common import codec
from masticpost_store import client

ENV_PREFIX = "MASTICPOST_"
HTTP_TIMEOUT_S = 5.0
BOLD = "\033[1m"
RED = "\033[31m"
RESET = "\033[0m"
T = typing.TypeVar("T")


class UsageError(Exception):
    """An option or an argument is missing or not valid."""


class UnreachableError(Exception):
    """The object API or an instance did not answer."""


@attrs.define(kw_only=True)
class Session:
    """One invocation of the tool; connections are opened at first use."""

    args: dict[str, object]
    environ: collections.abc.Mapping[str, str]
    http: aiohttp.ClientSession | None = None
    opened_store: client.Client | None = None

    def option(self, name: str) -> str:
        """Return an option, else its environment variable, else an empty string."""
        given = self.args.get(f"--{name}")
        env = self.environ.get(ENV_PREFIX + name.upper().replace("-", "_"), "")
        is_default = name == "namespace" and given == "masticpost" and env
        return env if not given or is_default else str(given)

    def required(self, name: str) -> str:
        """Return an option; raises `UsageError` if it is missing."""
        value = self.option(name)
        if not value:
            env = ENV_PREFIX + name.upper().replace("-", "_")
            raise UsageError(f"give --{name} or set {env}")
        return value

    def number(self, name: str) -> int | None:
        """Return an integer option, None if absent."""
        value = self.args.get(f"--{name}")
        if value is None:
            return None
        if not str(value).isdigit():
            raise UsageError(f"--{name} must be a non-negative integer")
        return int(str(value))

    def read_file(self) -> str:
        """Return the content of FILE; ``-`` means standard input."""
        name = str(self.args["FILE"])
        if name == "-":
            return sys.stdin.read()
        try:
            return pathlib.Path(name).read_text()
        except (OSError, UnicodeDecodeError) as exc:
            raise UsageError(f"cannot read {name}: {exc}") from exc

    @property
    def author(self) -> str:
        """User name that is stored with an applied generation."""
        try:
            return getpass.getuser()
        except (KeyError, OSError):
            return "unknown"

    @property
    def store(self) -> client.Client:
        """Client of the object API, created at first use."""
        if self.opened_store is None:
            self.opened_store = client.Client(
                url=self.required("store-url"), namespace=self.option("namespace")
            )
        return self.opened_store

    def _tls(self) -> ssl.SSLContext | bool:
        """Return how to verify instances: against --ca, else the system's CAs."""
        name = self.option("ca")
        if not name:
            return True
        try:
            return ssl.create_default_context(cafile=name)
        except (OSError, ssl.SSLError) as exc:
            raise UsageError(f"cannot read --ca {name}: {exc}") from exc

    async def fetch(self, url: str, kind: type[T], *, sends_key: bool = True) -> T:
        """Fetch and decode an operators' page of an instance.

        Parameters
        ----------
        url : str
            URL of the page.
        kind : type
            Type to decode the page to.
        sends_key : bool
            Whether to send the operators' key.

        Raises
        ------
        UnreachableError
            If the instance does not answer or rejects the key.
        """
        if self.http is None:
            timeout = aiohttp.ClientTimeout(total=HTTP_TIMEOUT_S)
            connector = aiohttp.TCPConnector(ssl=self._tls())
            self.http = aiohttp.ClientSession(timeout=timeout, connector=connector)
        headers = {}
        if sends_key:
            headers["Authorization"] = f"Bearer {self.required('admin-key')}"
        try:
            async with self.http.get(url, headers=headers) as resp:
                if resp.status == 401:
                    raise UnreachableError(
                        f"{url}: the instance rejected the operators' key"
                    )
                resp.raise_for_status()
                return codec.from_json(await resp.read(), kind)
        except (aiohttp.ClientError, TimeoutError, OSError, codec.DecodeError) as exc:
            raise UnreachableError(f"{url}: {exc or type(exc).__name__}") from exc

    async def close(self) -> None:
        """Close the connections."""
        if self.http is not None:
            await self.http.close()
        if self.opened_store is not None:
            await self.opened_store.close()

    @property
    def wants_json(self) -> bool:
        """Whether to print JSON."""
        return bool(self.args["--json"])

    def print(self, text: str) -> None:
        """Print a line to standard output."""
        print(text)

    def print_json(self, value: object) -> None:
        """Print a value as JSON."""
        print(codec.to_json(value).decode())

    def print_error(self, text: str) -> None:
        """Print a line to standard error, in red on a terminal."""
        if sys.stderr.isatty():
            text = f"{RED}{text}{RESET}"
        print(text, file=sys.stderr)

    def print_table(self, header: list[str], rows: list[list[object]]) -> None:
        """Print aligned columns, the header in bold on a terminal."""
        table = [header, *[[str(cell) for cell in row] for row in rows]]
        widths = [max(len(row[i]) for row in table) for i in range(len(header))]
        for number, row in enumerate(table):
            line = "  ".join(
                cell.ljust(width) for cell, width in zip(row, widths, strict=True)
            ).rstrip()
            if number == 0 and sys.stdout.isatty():
                line = f"{BOLD}{line}{RESET}"
            print(line)


def open_session(
    args: dict[str, object], environ: collections.abc.Mapping[str, str]
) -> Session:
    """Return the session of one invocation."""
    return Session(args=args, environ=environ)


def format_utc(at_ms: int) -> str:
    """Format wall-clock milliseconds as date and time in UTC."""
    return time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(at_ms / 1000))
