"""Process settings from flags and environment variables, validated together."""

import collections.abc
import hashlib
import os
import pathlib
import re

import attrs
import docopt
from masticpost_common import findings

ENV_PREFIX = "MASTICPOST_"
MAX_PORT = 65_535
BYTES_PER_MB = 2**20
LOG_LEVELS = ("debug", "info", "warning", "error")
NAME_PATTERN = re.compile(r"[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?")

USAGE = """masticpostd: an entry instance of masticpost.

Usage:
  masticpostd [options]
  masticpostd --help

Every option can also be set by an environment variable: MASTICPOST_ and the
option's name in capitals, with _ for -. The option takes precedence.

Options:
  --name NAME            Name of this instance, unique in the deployment.
  --domain NAME          Failure domain of this instance.
  --listen ADDR          Address for callers' HTTP requests, as HOST:PORT.
  --peer-listen ADDR     Address for other instances, as HOST:PORT.
  --peer-advertise ADDR  Address at which other instances reach this one (default: as
                         --peer-listen).
  --store-url URL        The platform's object API.
  --instances-url URL    The platform's list of instances (default: as --store-url).
  --namespace NAME       Namespace of the deployment's objects [default: masticpost].
  --store-token-file F   File with the object API's bearer token.
  --peer-keys KEYS       Shared keys between instances, comma separated; the first
                         signs, all verify. Preferably set in the environment.
  --admin-key KEY        Key of the operators' endpoints. Preferably set in the
                         environment.
  --seeds ADDRS          Peers to contact first, comma separated HOST:PORT.
  --shards N             Number of shards, equal on all instances [default: 8].
  --tls-cert FILE        Certificate chain presented to callers.
  --tls-key FILE         Private key of --tls-cert.
  --upstream-ca FILE     Certificate authority of https upstreams.
  --drain-grace-s S      Seconds between leaving and refusing requests [default: 2].
  --drain-limit-s S      Maximum seconds to wait for requests in flight
                         [default: 60].
  --settle-after-s S     Seconds after which the open bill of an ended instance is
                         settled [default: 30].
  --ask-at-once-s S      Maximum seconds that a caller waits while the service is
                         queried about its call in doubt [default: 2].
  --memory-mb MB         Memory that the process may use [default: 512].
  --log-level LEVEL      debug, info, warning or error [default: info].
  --help                 Show this help.

Exit codes: 0 stopped on request, 1 failure, 2 invalid settings.
"""

REQUIRED = (
    "name",
    "domain",
    "listen",
    "peer-listen",
    "store-url",
    "peer-keys",
)
# Matches the options in `USAGE` that take a value.
FLAG_PATTERN = re.compile(r"^  --([a-z-]+) [A-Z]", re.MULTILINE)


@attrs.frozen(kw_only=True)
class Address:
    """A host and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@attrs.frozen(kw_only=True)
class Settings:
    """Validated settings of one process; times in seconds."""

    name: str
    domain: str
    listen: Address
    peer_listen: Address
    peer_advertise: Address
    store_url: str
    instances_url: str
    namespace: str
    store_token: str = attrs.field(repr=False)
    peer_keys: tuple[str, ...] = attrs.field(repr=False)
    admin_key_hash: str = attrs.field(repr=False)
    seeds: tuple[Address, ...]
    shards: int
    tls_cert: str
    tls_key: str
    upstream_ca: str
    drain_grace_s: float
    drain_limit_s: float
    settle_after_s: float
    ask_at_once_s: float
    memory_bytes: float
    log_level: str


class _Reader:
    """Reads and validates values, and collects findings."""

    def __init__(self, values: dict[str, str]) -> None:
        self.values = values
        self.findings: list[findings.Finding] = []

    def report(self, name: str, message: str, remedy: str) -> None:
        place = findings.Place(source=f"--{name}")
        self.findings.append(
            findings.Finding(place=place, message=message, remedy=remedy)
        )

    def text(self, name: str) -> str:
        value = self.values.get(name, "")
        if not value and name in REQUIRED:
            env = ENV_PREFIX + name.upper().replace("-", "_")
            self.report(name, "is required", f"give --{name} or set {env}")
        return value

    def name(self, name: str) -> str:
        value = self.text(name)
        if value and not NAME_PATTERN.fullmatch(value):
            self.report(name, f"{value!r} is not a valid name", "use a-z, 0-9, - and .")
        return value

    def address(self, name: str, value: str | None = None) -> Address:
        raw = self.text(name) if value is None else value
        host, _, port = raw.rpartition(":")
        if raw and not (host and port.isdigit() and 0 < int(port) <= MAX_PORT):
            self.report(name, f"{raw!r} is not HOST:PORT", "write 10.0.0.1:8080")
        return Address(host=host, port=int(port) if port.isdigit() else 0)

    def number(self, name: str, low: float, high: float) -> float:
        raw = self.text(name)
        try:
            value = float(raw)
        except ValueError:
            value = low - 1
        if not low <= value <= high:
            self.report(name, f"{raw!r} is out of range", f"use {low:g} to {high:g}")
        return value

    def url(self, name: str) -> str:
        value = self.text(name)
        if value and not value.startswith(("http://", "https://")):
            self.report(name, f"{value!r} is not a URL", "write http://HOST:PORT")
        return value

    def file(self, name: str) -> str:
        value = self.text(name)
        if value and not pathlib.Path(value).is_file():
            self.report(name, f"{value!r} is not a file", "give the path of a file")
        return value


def load(
    argv: list[str], environ: collections.abc.Mapping[str, str] = os.environ
) -> Settings:
    """Return the validated settings.

    Raises
    ------
    findings.FindingsError
        If values are not valid; has all findings.
    docopt.DocoptExit
        If the command line cannot be parsed.
    """
    return _build(_Reader(_merge(argv, environ)))


def _merge(
    argv: list[str], environ: collections.abc.Mapping[str, str]
) -> dict[str, str]:
    """Return the values; flags take precedence over the environment, then defaults."""
    args = docopt.docopt(USAGE, argv)
    values: dict[str, str] = {}
    for name in FLAG_PATTERN.findall(USAGE):
        flag = f"--{name}"
        is_flag_given = any(arg.split("=")[0] == flag for arg in argv)
        env = environ.get(ENV_PREFIX + name.upper().replace("-", "_"), "")
        values[name] = env if env and not is_flag_given else args[flag] or ""
    return values


def _build(reader: _Reader) -> Settings:
    peer_listen = reader.address("peer-listen")
    advertise = reader.values["peer-advertise"]
    store_url = reader.url("store-url")
    settings = Settings(
        name=reader.name("name"),
        domain=reader.text("domain"),
        listen=reader.address("listen"),
        peer_listen=peer_listen,
        peer_advertise=(reader.address("peer-advertise") if advertise else peer_listen),
        store_url=store_url,
        instances_url=reader.url("instances-url") or store_url,
        namespace=reader.name("namespace"),
        store_token=_read_token(reader),
        peer_keys=_peer_keys(reader),
        admin_key_hash=_sha256(reader.text("admin-key")),
        seeds=tuple(
            reader.address("seeds", part) for part in _split_list(reader.text("seeds"))
        ),
        shards=int(reader.number("shards", 1, 1024)),
        tls_cert=reader.file("tls-cert"),
        tls_key=reader.file("tls-key"),
        upstream_ca=reader.file("upstream-ca"),
        drain_grace_s=reader.number("drain-grace-s", 0, 600),
        drain_limit_s=reader.number("drain-limit-s", 0, 3600),
        settle_after_s=reader.number("settle-after-s", 0, 3600),
        ask_at_once_s=reader.number("ask-at-once-s", 0, 600),
        memory_bytes=reader.number("memory-mb", 64, 1_048_576) * BYTES_PER_MB,
        log_level=reader.text("log-level"),
    )
    _check_consistency(reader, settings)
    if reader.findings:
        raise findings.FindingsError(findings=reader.findings)
    return settings


def _check_consistency(reader: _Reader, settings: Settings) -> None:
    if settings.log_level not in LOG_LEVELS:
        reader.report(
            "log-level",
            f"{settings.log_level!r} is not a level",
            f"use one of: {', '.join(LOG_LEVELS)}",
        )
    if bool(settings.tls_cert) != bool(settings.tls_key):
        reader.report("tls-cert", "must be given with --tls-key", "give both or none")


def _split_list(value: str) -> list[str]:
    return [part.strip() for part in value.split(",") if part.strip()]


def _peer_keys(reader: _Reader) -> tuple[str, ...]:
    parts = tuple(_split_list(reader.text("peer-keys")))
    if any(len(part) < 16 for part in parts):
        reader.report("peer-keys", "a key is too short", "use at least 16 characters")
    return parts


def _read_token(reader: _Reader) -> str:
    path = reader.file("store-token-file")
    if not path or not pathlib.Path(path).is_file():
        return ""
    return pathlib.Path(path).read_text().strip()


def _sha256(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest() if key else ""
