"""Running programs of a deployment and their URLs."""

import attrs

from masticpost_bench import procs


@attrs.define(kw_only=True)
class StandIn:
    """A running stand-in of an external service, with its ports."""

    name: str
    proc: procs.Proc
    port: int
    control_port: int
    scheme: str = "http"

    @property
    def url(self) -> str:
        """URL of the service port."""
        return f"{self.scheme}://{procs.HOST}:{self.port}"

    @property
    def control_url(self) -> str:
        """URL of the control port."""
        return f"http://{procs.HOST}:{self.control_port}"


@attrs.define(kw_only=True)
class Daemon:
    """A running `masticpostd` with its ports.

    `was_ready` is set when the daemon first reports that it is ready.
    """

    name: str
    domain: str
    proc: procs.Proc
    port: int
    peer_port: int
    scheme: str = "http"
    was_ready: bool = False

    @property
    def url(self) -> str:
        """URL that callers use."""
        return f"{self.scheme}://{procs.HOST}:{self.port}"


@attrs.frozen(kw_only=True)
class Tls:
    """Paths of a TLS certificate for loopback, its private key and its CA."""

    cert: str
    key: str
    ca: str

    @property
    def server_args(self) -> list[str]:
        """Command-line options of a program that listens with TLS."""
        return [f"--tls-cert={self.cert}", f"--tls-key={self.key}"]
