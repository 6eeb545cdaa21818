"""Memory that is reserved for the requests on one connection of a caller."""

from damaskramp.relay.caller_memory import CallerMemory
from damaskramp.relay.caller_request import CallerRequest

__all__ = ["RequestCharges"]

REQUEST_BYTES = 2048
"""Memory of a request's objects without its head and body, in bytes, rounded up."""

LARGE_HEAD_BYTES = 2048
"""Size, in bytes, of heads whose memory is reserved while their request runs."""

HEAD_COPIES = 3
"""Copies of a head while its request runs: fields, outgoing head, and call."""


class RequestCharges:
    """Reservations of one connection; a closed connection gets none.

    Attributes
    ----------
    is_open : bool
        Whether the connection is open and counted.
    head_bytes : int
        Bytes reserved for heads and the objects of requests.
    """

    def __init__(self, memory: CallerMemory) -> None:
        self._memory = memory
        self.is_open = False
        self.head_bytes = 0

    def open(self, client: str) -> bool:
        """Reserve what each connection needs; return whether there is room."""
        self.is_open = self._memory.open_connection(client)
        return self.is_open

    def close(self) -> None:
        """Release what each connection needs."""
        if self.is_open:
            self.is_open = False
            self._memory.close_connection()

    def reserve_head(self, request: CallerRequest, head_bytes: int) -> bool:
        """Reserve memory for a request that waits; return whether there is room."""
        return self._raise_to(request, REQUEST_BYTES + head_bytes)

    def reserve_run(self, request: CallerRequest) -> bool:
        """Reserve memory for a large head whose request is to run."""
        return request.head_bytes <= LARGE_HEAD_BYTES or self._raise_to(
            request, HEAD_COPIES * request.head_bytes
        )

    def release(self, request: CallerRequest) -> None:
        """Release the memory of a request."""
        memory = self._memory
        if request.head_charge:
            size, request.head_charge = request.head_charge, 0
            self.head_bytes -= size
            memory.release(size)
        if request.small_bytes:
            size, request.small_bytes = request.small_bytes, 0
            memory.small_bodies.release(size)
        if request.reserved_bytes:
            size, request.reserved_bytes = request.reserved_bytes, 0
            memory.bodies.release(size)

    def _raise_to(self, request: CallerRequest, size: int) -> bool:
        missing = size - request.head_charge
        if missing <= 0:
            return True
        if not self._memory.charge(missing):
            return False
        if not self.is_open:
            # Making room has closed this connection itself.
            self._memory.release(missing)
            return False
        request.head_charge += missing
        self.head_bytes += missing
        return True
