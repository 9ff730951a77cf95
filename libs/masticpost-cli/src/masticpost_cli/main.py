"""Entry point of the operators' command-line tool."""

import asyncio
import os
import sys

import docopt
from masticpost_common import findings

from masticpost_cli import (  # noqa: F401
    bills,
    commands,
    explain,
    report,
    routes,
    session,
    status,
    texts,
)

USAGE = """masticpost: the operators' command-line tool.

Usage:
  masticpost check FILE [options]
  masticpost apply FILE [--seen GENERATION] [--note TEXT] [options]
  masticpost show [--generation N] [options]
  masticpost diff FILE [options]
  masticpost diff --from N --to N [options]
  masticpost history [options]
  masticpost status [ADDRESS...] [options]
  masticpost drain (domain | upstream | version) NAME [options]
  masticpost restore (domain | upstream | version) NAME [options]
  masticpost hash-key [options]
  masticpost bills [options]
  masticpost audit FILE [options]
  masticpost doubts [options]
  masticpost budgets [options]
  masticpost report burn [ADDRESS...] [--html OUT] [options]
  masticpost explain REQUEST_ID LOG... [options]
  masticpost gateway route ADDRESS [options]
  masticpost --help

Commands:
  check     Check a configuration text; each finding has a line, a column and a
            remedy.
  apply     Apply a text, unless it was changed after generation --seen.
  show      Print the text in force, or an earlier generation.
  diff      Compare a file with the text in force, or two generations.
  history   List the generations.
  status    Show every instance, its generation, its shards, and the upstreams.
            With the metrics addresses of gateways: the state of each gateway and
            the age of its cached records.
  drain     Take a failure domain, upstream or version out of service, by an edit
            of the text.
  restore   Bring it back into service.
  hash-key  Read an API key from standard input and print its digest for the text.
  bills     Print the bills' totals by customer, service and version.
  audit     Compare the bills with a file of the requests that upstreams executed.
  doubts    List non-idempotent calls whose outcome is not known.
  budgets   Show the spending of customers with a budget in the current window.
  report    Show the burn rate of the error budget, of instances or gateways.
  explain   Show what happened to a request, from the logs of instances.
  gateway route
            Show where a gateway would send a request now, and why; nothing is sent
            or counted. ADDRESS is that of its metrics.

Options:
  --store-url URL   The platform's object API (MASTICPOST_STORE_URL).
  --namespace NAME  Namespace (MASTICPOST_NAMESPACE) [default: masticpost].
  --entry URL       Any instance or the balancer (MASTICPOST_ENTRY).
  --admin-key KEY   Operators' key (MASTICPOST_ADMIN_KEY).
  --ca FILE         CA of the instances' certificates (MASTICPOST_CA).
  --seen N          Generation that the edit is based on (default: the newest).
  --generation N    Generation to show.
  --from N          Older generation.
  --to N            Newer generation.
  --note TEXT       Note stored with the generation.
  --html OUT        Write the report as an HTML page with plots.
  --json            Print JSON.
  --host HOST       Host of the request.
  --path PATH       Path of the request.
  --customer NAME   Its customer, for the priority and the share.
  --priority N      Its priority, instead of the customer's or the route's.
  --session ID      Its session.
  --id ID           Its id, which stands in for a session.
  --model NAME      A model of the route (default: the smallest).
  --parts PARTS     Parts of its prompt, as callers name them: NAME:TOKENS,...
  --tokens-in N     Tokens of the whole prompt.
  --tokens-out N    Tokens of the answer at most.
  --tokens-hint N   Tokens of the answer that the caller expects.
  --deadline-ms N   Time that the caller waits.
  --help            Show this help.

Examples:
  masticpost check plant.yaml && masticpost apply plant.yaml --note "new manual"
  masticpost drain domain hsinchu
  masticpost report burn --json
  masticpost status 10.0.0.11:9464 10.0.0.12:9464
  masticpost explain 6946f0469c7e4215 front-*.log
  masticpost gateway route 10.0.0.11:9464 --host shop.example --path /chat/

Exit codes: 0 success, 1 negative result (findings, conflict, mismatch), 2 usage
error, 3 the object API or an instance could not be reached.
"""


def main() -> None:
    """Run one command and exit with its exit code."""
    try:
        args = docopt.docopt(USAGE)
    except docopt.DocoptExit as exc:
        print(exc, file=sys.stderr)
        sys.exit(commands.EXIT_USAGE)
    sys.exit(asyncio.run(_run(args)))


async def _run(args: dict[str, object]) -> int:
    name = next(name for name in commands.COMMANDS.names() if args.get(name))
    ses = session.open_session(args, os.environ)
    try:
        return await commands.COMMANDS.get(name)(ses)
    except findings.FindingsError as exc:
        ses.print_error(str(exc))
        return commands.EXIT_NEGATIVE
    except session.UsageError as exc:
        ses.print_error(str(exc))
        return commands.EXIT_USAGE
    except session.UnreachableError as exc:
        ses.print_error(str(exc))
        return commands.EXIT_UNREACHABLE
    finally:
        await ses.close()
