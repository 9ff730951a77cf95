"""Entry point of the stand-ins; the kind of stand-in is an argument."""

import asyncio
import logging
import signal
import ssl

import docopt
import msgspec
import uvloop

from masticpost_standins import (
    control,
    engine,
    instancelist,
    objectapi,
    plainsvc,
    rating,
    weights,
)

KINDS = {
    "object-api": (objectapi.Config, objectapi.ObjectApi),
    "instance-list": (instancelist.Config, instancelist.InstanceList),
    "engine": (engine.Config, engine.Engine),
    "plain": (plainsvc.Config, plainsvc.PlainService),
    "rating": (rating.Config, rating.RatingService),
    "weights": (weights.Config, weights.WeightStore),
}

USAGE = f"""masticpost-standin: stand-ins for external systems.

Usage:
  masticpost-standin KIND --port PORT --control-port PORT [--config JSON]
                     [--tls-cert FILE --tls-key FILE]

KIND is one of: {", ".join(KINDS)}.

Options:
  --port PORT          Service port on loopback.
  --control-port PORT  Control port on loopback.
  --config JSON        Fields of the stand-in's Config [default: {{}}].
  --tls-cert FILE      Certificate chain of the service port.
  --tls-key FILE       Private key of --tls-cert.
"""


def main() -> None:
    """Run a stand-in until SIGTERM or SIGINT."""
    args = docopt.docopt(USAGE)
    config_type, kind = KINDS[args["KIND"]]
    cfg = msgspec.json.decode(args["--config"], type=config_type)
    standin = kind(cfg=cfg)
    if args["--tls-cert"]:
        standin.tls = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        standin.tls.load_cert_chain(args["--tls-cert"], args["--tls-key"])
    uvloop.run(_run(standin, int(args["--port"]), int(args["--control-port"])))


async def _run(standin: control.StandIn, port: int, control_port: int) -> None:
    logging.basicConfig(level=logging.WARNING)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await standin.start("127.0.0.1", port, control_port)
    await stop.wait()
    await standin.stop()
