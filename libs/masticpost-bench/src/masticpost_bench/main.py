"""Entry point of `masticpost-bench`: parses arguments and runs one benchmark."""

import asyncio
import sys

import docopt
import uvloop

from masticpost_bench import (  # noqa: F401
    benchmarks,
    demo,
    overhead,
    placing,
    recovery,
    runs,
    scale,
)

USAGE = """masticpost-bench: runs the real programs on loopback and measures them.

Usage:
  masticpost-bench demo
  masticpost-bench overhead [options]
  masticpost-bench scale [options]
  masticpost-bench takeover [options]
  masticpost-bench run SCENARIO [options]
  masticpost-bench outage [options]
  masticpost-bench spread [options]
  masticpost-bench placing [options]
  masticpost-bench --help

Options:
  --seconds S   Length of each measurement [default: 8].
  --rate R      Requests per second, where it applies [default: 50].
  --policy P    Policies, comma separated [default: ours].
  --seeds N     Runs per policy [default: 1].
  --deployment D  lineswitch or alharthy [default: lineswitch].
  --out DIR     Where results go [default: out].
"""


def main() -> None:
    """Run the benchmark that the command line names."""
    args = docopt.docopt(USAGE)
    name = next(name for name in benchmarks.BENCHMARKS.names() if args.get(name))
    sys.exit(uvloop.run(_run(name, args)))


async def _run(name: str, args: dict[str, object]) -> int:
    return await asyncio.ensure_future(benchmarks.BENCHMARKS.get(name)(args))
