"""A loopback proxy whose open connections can go silent for good."""

import asyncio

CHUNK_BYTES = 65_536


class SilenceProxy:
    """Forwards connections to a target.

    After `silence`, nothing passes any more on the connections that are open then, and
    neither end sees them close. Connections that are opened later work.
    """

    def __init__(self, *, host, target):
        self.host, self.target = host, target
        self.address = ""
        self._open = set()
        self._kept = []
        self._tasks = set()
        self._server = None

    async def start(self):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._accept, self.host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{self.host}:{port}"
        return self

    async def stop(self):
        """Stop listening and forwarding."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for writer in self._kept:
            writer.transport.abort()

    def silence(self):
        """Silence the open connections; return how many there are."""
        count = len(self._open)
        for link in self._open:
            link.is_silent = True
        self._open = set()
        return count

    async def _accept(self, reader, writer):
        host, _, port = self.target.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        link = Link()
        self._open.add(link)
        # Both ends stay referenced, so that a silent connection is not closed.
        self._kept += (writer, far_writer)
        for source, target in ((reader, far_writer), (far_reader, writer)):
            task = asyncio.create_task(self._forward(source, target, link))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _forward(self, reader, writer, link):
        try:
            while data := await reader.read(CHUNK_BYTES):
                if not link.is_silent:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass
        if not link.is_silent:
            self._open.discard(link)
            writer.close()


class Link:
    """One forwarded connection."""

    def __init__(self):
        self.is_silent = False
