"""Programs of a deployment as they run, and how to reach them."""

import attrs

from masticpost_bench import procs


@attrs.define(kw_only=True)
class StandIn:
    """A running stand-in and its ports."""

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
    """A running `masticpostd` and its ports."""

    name: str
    domain: str
    proc: procs.Proc
    port: int
    peer_port: int
    scheme: str = "http"
    was_ready: bool = False

    @property
    def url(self) -> str:
        """URL for callers."""
        return f"{self.scheme}://{procs.HOST}:{self.port}"


@attrs.frozen(kw_only=True)
class Tls:
    """Files of a certificate for loopback, its key, and its authority."""

    cert: str
    key: str
    ca: str

    @property
    def server_args(self) -> list[str]:
        """Options of a program that listens with TLS."""
        return [f"--tls-cert={self.cert}", f"--tls-key={self.key}"]
