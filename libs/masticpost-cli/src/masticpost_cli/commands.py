"""Registry of the commands, and their exit codes."""

import collections.abc

from masticpost_common import registry

from masticpost_cli import session

EXIT_OK = 0
# Findings, a conflict, a mismatch, or an alert.
EXIT_NEGATIVE = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3

Command = collections.abc.Callable[[session.Session], collections.abc.Awaitable[int]]
COMMANDS: registry.Registry[Command] = registry.Registry(kind="command")
