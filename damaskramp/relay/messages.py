"""Messages between nodes: msgpack arrays, each beginning with its kind.

msgpack values are self-delimiting, so a stream of them needs no further framing. A body
of more than ``FRAGMENT_BYTES`` follows its message in fragments, see `body_transfer`.
"""

import ipaddress
import reprlib
import zlib
from typing import NamedTuple

from damaskramp.core import Reason
from damaskramp.core.ids import ServiceName, ZoneName
from damaskramp.dispatch import UNKNOWN_RANK, Lineage, Load
from damaskramp.fleet.model import (
    BackendServer,
    Epoch,
    Removal,
    Revision,
    ServerId,
    ServerReport,
    StorePosition,
)
from damaskramp.http import is_status

__all__ = [
    "FRAGMENT_BYTES",
    "REASONS",
    "REASON_CODES",
    "Call",
    "Kind",
    "check_answer",
    "check_host",
    "check_types",
    "pack_call",
    "pack_document",
    "pack_removal",
    "pack_server",
    "unpack_document",
    "unpack_load",
    "unpack_position",
    "unpack_removal",
    "unpack_server",
]

FRAGMENT_BYTES = 64 * 1024
"""Largest part of a body in one message, in bytes. It takes 5 ms at 100 Mbit/s, which
is the time that it may delay other messages."""

COMPRESSION_LEVEL = 1
"""Compression level of documents: the fastest, which shrinks them to a fifth."""

MAX_DOCUMENT_BYTES = 16 * 1024 * 1024
"""Largest unpacked document of a peer, in bytes; values of the platform have 1 MB."""


class Kind:
    """Kinds of messages, their first elements.

    These are plain integers, because members of an enumeration take five times as long
    to look up and longer to pack, several times for each call.
    """

    CALL = 1
    CANCEL = 2
    ANSWER = 3
    REFUSED = 4
    FAILED = 5
    PING = 6
    PONG = 7
    BORROW = 8
    LENT = 9
    UPDATE = 10
    GIVE_BACK = 11
    LARGE_CALL = 12
    LARGE_ANSWER = 13
    FRAGMENT = 14
    GRANT = 15
    END_CALLS = 16


REASONS = tuple(Reason)
"""Reasons, indexed by their number on the wire."""

REASON_CODES = {reason: code for code, reason in enumerate(REASONS)}


class Call(NamedTuple):
    """Request sent to the node beside a backend server.

    Attributes
    ----------
    number : int
        Number of the call on its link.
    server : str
        Id of the backend server that is to run the request.
    head : bytes
        Request line and header fields, without the deadline and the blank line.
    remaining : float
        Seconds until nobody waits for the answer.
    target : float
        Seconds until the answer loses its full value; may be negative.
    priority : int
        Rank among new requests; 0 is the most important.
    is_call : bool
        Whether a backend server made the request.
    route : str
        Name of the request's route, by which service times are averaged.
    key_digest : bytes
        Digest of the caller's key; empty if no key is needed.
    fingerprint : int
        Hash of caller, method, path and body.
    repeat_share : float
        Probability that this run repeats another, 0 to 1, inherited by its calls.
    fail_fast : bool
        Whether to refuse the request rather than queue it for longer than it runs.
    known_rate_limit : float
        Requests a second that the server takes, as far as the sender knows; 0 if it
        knows of no limit.
    root_rank : int
        Priority of the caller's request that this request serves in the end; -1 if
        unknown. See `Lineage`; whether the run is a repeat is in `repeat_share`.
    root_team : str
        Team of that request; empty if unknown.
    root_remaining_ms : int
        Milliseconds until nobody waits for its answer; 0 if unknown.
    waited_ms : int
        Milliseconds since the request was first refused; 0 if it was not.
    """

    number: int
    server: str
    request_id: bytes
    head: bytes
    body: bytes
    head_only: bool
    idempotent: bool
    remaining: float
    target: float
    priority: int
    is_call: bool
    route: str
    key_digest: bytes
    fingerprint: int
    repeat_share: float
    fail_fast: bool
    known_rate_limit: float = 0
    root_rank: int = UNKNOWN_RANK
    root_team: str = ""
    root_remaining_ms: int = 0
    waited_ms: int = 0

    def lineage(self, now: float) -> Lineage:
        """Lineage of the request's run, with the root deadline on this host's clock."""
        remaining_ms = self.root_remaining_ms
        root_deadline = now + remaining_ms / 1000 if remaining_ms else 0.0
        return Lineage(self.root_rank, self.root_team, root_deadline, self.repeat_share)


REQUIRED_FIELDS = len(Call._fields) - len(Call._field_defaults)
"""Number of fields of a call that are always sent."""

DEFAULTS = tuple(Call._field_defaults.values())


def pack_call(call: Call, number: int) -> tuple:
    """Elements of a call on a link, without those at the end that have defaults."""
    if call[REQUIRED_FIELDS:] == DEFAULTS:
        return (number, *call[1:REQUIRED_FIELDS])
    return (number, *call[1:])


FINAL_STATUS = 200
"""Lowest status of an answer that ends its request."""

LOAD_TYPES = frozenset({int, float, bool, list})
"""Types of the elements of a load; the pressure is a list."""

REQUIRED_LOAD = len(Load._fields) - len(Load._field_defaults)
"""Number of elements of a load that are always sent."""

SERVER_TYPES = (str, str, str, str, int, bool, float, int, int, int, int)
"""Types of the elements that describe a backend server."""

REMOVAL_TYPES = (str, int, int, int, int)
"""Types of the elements that describe the removal of a backend server."""

POSITION_TYPES = (int, int)
"""Types of the epoch and the revision of a position in the store."""

NO_REPORT = ServerReport(-1, -1)
"""Stands for the missing report of a removal."""


def pack_server(server: BackendServer) -> tuple:
    """Pack a backend server into the elements that describe it."""
    return (
        server.id,
        server.service,
        server.address,
        server.zone,
        server.slots,
        server.leaving,
        server.warmup,
        server.started,
        server.revision,
        server.report_number,
        server.epoch,
    )


def unpack_server(elements: list) -> BackendServer:
    """Unpack a backend server that a peer describes.

    Raises
    ------
    ValueError
        If the elements do not describe a backend server.
    """
    check_types(elements, SERVER_TYPES, "a backend server")
    name, service, address, zone, *state, revision, report_number, epoch = elements
    check_host(address.rpartition(":")[0])
    return BackendServer(
        ServerId(name),
        ServiceName(service),
        address,
        ZoneName(zone),
        *state,
        Revision(revision),
        report_number,
        Epoch(epoch),
    )


def pack_removal(removal: Removal) -> tuple:
    """Pack the removal of a backend server into the elements that describe it."""
    report = removal.report or NO_REPORT
    return (removal.server, removal.revision, removal.epoch, *report)


def unpack_removal(elements: list) -> Removal:
    """Unpack the removal of a backend server that a peer describes.

    Raises
    ------
    ValueError
        If the elements do not describe a removal.
    """
    check_types(elements, REMOVAL_TYPES, "a removal")
    name, revision, epoch, *report = elements
    known_report = ServerReport(*report)
    return Removal(
        ServerId(name),
        Revision(revision),
        Epoch(epoch),
        None if known_report == NO_REPORT else known_report,
    )


def unpack_position(elements: list) -> StorePosition:
    """Unpack the position in the store up to which a peer's view is complete.

    Raises
    ------
    ValueError
        If the elements do not describe a position.
    """
    check_types(elements, POSITION_TYPES, "a position in the store")
    return StorePosition(*elements)


def check_types(elements: object, types: tuple[type, ...], meaning: str) -> None:
    """Check the number and the types of the elements of a message.

    Raises
    ------
    ValueError
        If the elements are not a list of these types.
    """
    if not isinstance(elements, list) or len(elements) != len(types):
        raise ValueError(f"{reprlib.repr(elements)} does not describe {meaning}")
    for element, kind in zip(elements, types, strict=True):
        if type(element) is not kind:
            found = reprlib.repr(element)
            raise ValueError(f"{found} is not of type {kind.__name__}")


def check_answer(status: object, head: object) -> None:
    """Check the status and the header block of an answer that a peer passes on.

    Raises
    ------
    ValueError
        If they are none of a final answer.
    """
    if type(status) is not int or status < FINAL_STATUS or not is_status(status):
        raise ValueError(f"{status!r} is no status of a final answer")
    if type(head) is not bytes:
        raise ValueError("the head of an answer is not bytes")


def unpack_load(elements: list) -> Load:
    """Unpack the load of a backend server that a peer reports.

    Raises
    ------
    ValueError
        If the elements do not describe a load.
    """
    if not REQUIRED_LOAD <= len(elements) <= len(Load._fields):
        raise ValueError(f"{len(elements)} elements do not describe a load")
    for element in elements:
        if type(element) not in LOAD_TYPES:
            raise ValueError(f"{type(element).__name__} in a load")
    return Load(*elements)


def check_host(host: object) -> None:
    """Check the address by which a peer introduces itself.

    Raises
    ------
    ValueError
        If the address is not an IP address.
    """
    if not isinstance(host, str):
        raise ValueError(f"{reprlib.repr(host)} is not an IP address")
    ipaddress.ip_address(host)


def pack_document(document: bytes) -> bytes:
    """Compress the document of a configuration for other nodes."""
    return zlib.compress(document, COMPRESSION_LEVEL)


def unpack_document(packed: bytes) -> bytes:
    """Decompress the document of a configuration from another node.

    Raises
    ------
    ValueError
        If the document can't be decompressed or is too large.
    """
    unpacker = zlib.decompressobj()
    try:
        document = unpacker.decompress(packed, MAX_DOCUMENT_BYTES)
    except zlib.error as error:
        raise ValueError(str(error)) from error
    if not unpacker.eof:
        raise ValueError("document is truncated or too large")
    return document
