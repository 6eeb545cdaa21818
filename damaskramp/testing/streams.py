"""Server on asyncio streams for tests, which closes what it has opened."""

import asyncio
from collections.abc import Awaitable, Callable

__all__ = ["StreamServer"]

DEFAULT_LIMIT_BYTES = 64 * 1024
"""Largest line or separated part that a reader buffers, as of asyncio's streams."""


class StreamServer:
    """Server that closes all its connections when it stops.

    The server of `asyncio.start_server` leaves open the connections whose handlers
    never ran or have forgotten them. When such a stream is collected after its loop has
    closed, its finalizer raises an exception or issues a warning, in any later test.

    Parameters
    ----------
    serve : callable
        Coroutine function that gets the reader and the writer of a connection. The
        connection is closed when it returns.
    limit : int
        Limit of each reader's buffer, in bytes.

    Attributes
    ----------
    writers : set of asyncio.StreamWriter
        Writers of the open connections.
    """

    def __init__(
        self,
        serve: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]],
        limit: int = DEFAULT_LIMIT_BYTES,
    ) -> None:
        self._serve = serve
        self._limit = limit
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()
        self.writers: set[asyncio.StreamWriter] = set()

    @property
    def port(self) -> int:
        """Port that the server listens on."""
        return self._server.sockets[0].getsockname()[1]

    async def start(self, host: str | None = None, port: int = 0, **options) -> None:
        """Listen; `options` are those of `asyncio.start_server`."""
        self._server = await asyncio.start_server(
            self._accept, host, port if host else None, limit=self._limit, **options
        )

    def close(self) -> None:
        """Close the listener; connections stay open."""
        if self._server is not None:
            self._server.close()

    def stop(self) -> None:
        """Close the listener, and reset the connections that are still open."""
        self.close()
        for task in list(self._tasks):
            task.cancel()
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        # A plain function runs as soon as the connection is there; a coroutine that is
        # cancelled before its first step would never learn of it.
        self.writers.add(writer)
        task = asyncio.get_running_loop().create_task(self._run(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await self._serve(reader, writer)
        finally:
            self.writers.discard(writer)
            writer.close()
