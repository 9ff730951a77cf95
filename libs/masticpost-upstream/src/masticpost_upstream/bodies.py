"""Reading of the bodies of responses."""

from masticpost_upstream import connections


async def read(resp: connections.GuardedResponse) -> bytes:
    """Return the whole body of a response.

    Raises
    ------
    aiohttp.ClientError, OSError
        The connection failed before its end, or too much was received.
    """
    chunks: list[bytes] = []
    while data := await resp.content.readany():
        chunks.append(data)
    connections.check_body_end(resp)
    return b"".join(chunks)


def drop_frames(exc: BaseException) -> None:
    """Let the frames of a handled error go, with the bytes that they hold.

    The reader of a response keeps its error, so that they would last until the next
    collection of reference cycles.
    """
    exc.__traceback__ = None
