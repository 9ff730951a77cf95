"""Lines of an event stream, with a limit on what comes without data."""

import asyncio

import aiohttp

from masticpost_upstream import limits

# Longest wait for the next line with data.
DATA_TIMEOUT_S = 10.0
# Longest line with data, and the most that may come before one.
MAX_LINE_BYTES = 2**20
MAX_DATALESS_BYTES = 65_536
DATA_PREFIX = b"data:"


class DataLines:
    """The data lines of a response.

    Parameters
    ----------
    resp : aiohttp.ClientResponse
        Response whose head has been read.
    """

    def __init__(self, resp: aiohttp.ClientResponse) -> None:
        self.resp = resp
        self._buffer = bytearray()
        self._searched = 0
        self._ready: list[bytes] = []
        self._dataless = 0

    async def next(self) -> bytes | None:
        """Return the data of the next line, None at the end of the body.

        Raises
        ------
        aiohttp.ClientError, OSError
            The connection failed, or too much came without data.
        TimeoutError
            No data came in time.
        """
        async with asyncio.timeout(DATA_TIMEOUT_S):
            while not self._ready:
                received = await self.resp.content.readany()
                if not received:
                    return None
                self._feed(received)
                # Buffered bytes are returned at once, without a turn for others.
                await asyncio.sleep(0)
        return self._ready.pop()

    def _feed(self, received: bytes) -> None:
        self._buffer += received
        end = self._buffer.rfind(b"\n", self._searched) + 1
        self._searched = len(self._buffer) - end
        block = bytes(self._buffer[:end])
        del self._buffer[:end]
        lines = block.split(b"\n") if DATA_PREFIX in block else ()
        found = [row for row in lines if row.startswith(DATA_PREFIX)]
        if found:
            self._dataless = 0
            limits.renew(self.resp, MAX_LINE_BYTES)
        else:
            self._dataless += end
        if self._dataless > MAX_DATALESS_BYTES:
            raise limits.EndlessError("received lines without data without end")
        self._ready = [row[len(DATA_PREFIX) :].strip() for row in reversed(found)]
