"""The record of a script: what was sent, answered and run, and the result."""

import asyncio
import signal
import sys
import traceback

HELD, BROKEN, NOT_RUN = 0, 1, 2


class Record:
    """Lines of `record.txt`; times are seconds from `zero`, a monotonic time."""

    def __init__(self, path):
        self.path = path
        self.zero = 0.0
        self.lines = []

    def note(self, text):
        """Add a line, and show it."""
        self.lines.append(text)
        print(text, flush=True)

    def add_traffic(self, sent, runs):
        """Add a line for each request and for each run."""
        self.lines.append("")
        self.lines.append("sent: at, id, instance, path, status, signed, ended")
        for row in sent:
            self.lines.append(
                f"sent {row.at - self.zero:9.3f} {row.request_id} {row.place}"
                f" {row.path} {row.status} {row.is_signed}"
                f" {row.ended_at - self.zero:9.3f}"
            )
        self.lines.append("run: at, id, worker, version, service, path")
        for row in sorted(runs, key=lambda run: run.at):
            self.lines.append(
                f"run  {row.at - self.zero:9.3f} {row.request_id} {row.worker}"
                f" {row.version} {row.service} {row.path}"
            )

    def write(self):
        """Write the file."""
        self.path.write_text("\n".join(self.lines) + "\n")


def run(main):
    """Run the main coroutine of a script, and exit with its result.

    An error in the script, or a signal that ends it, is no broken rule.
    """
    try:
        code = asyncio.run(_until_signal(main))
    except (Exception, asyncio.CancelledError):
        traceback.print_exc()
        code = NOT_RUN
    sys.stdout.flush()
    sys.exit(code)


async def _until_signal(main):
    """Return the result of `main`; the first signal cancels it, to clean up."""
    loop = asyncio.get_running_loop()
    task = asyncio.current_task()

    def end():
        if not task.cancelling():
            task.cancel()

    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, end)
    return await main()
