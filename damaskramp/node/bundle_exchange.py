"""Exchange of bundles between nodes over gRPC."""

import asyncio

from grpclib.server import Stream

from damaskramp.bundle import SignedBundle
from damaskramp.core import BundleVersion
from damaskramp.distribution import BundleDelta, HeldSections, apply_bundle_delta
from damaskramp.node.peers import FAILURES, PeerPool
from damaskramp.wire.distribution_grpc import DistributionBase, DistributionStub
from damaskramp.wire.distribution_pb2 import FetchReply, FetchRequest, Section

__all__ = ["BundleClient", "BundleService", "HeldBundle"]

ANSWER_MARGIN_SECONDS = 1.0
"""Time beyond the requested wait within which a peer has to answer."""

MAX_WAIT_SECONDS = 30.0


class HeldBundle:
    """Greatest bundle of this node, with waiting for a greater one."""

    def __init__(self) -> None:
        self._signed: SignedBundle | None = None
        self._changed = asyncio.Event()

    @property
    def signed(self) -> SignedBundle | None:
        """Greatest bundle."""
        return self._signed

    def replace(self, signed: SignedBundle) -> None:
        """Store a greater bundle and wake all waiting requests."""
        self._signed = signed
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def bundle_delta(
        self, held: HeldSections, seconds: float
    ) -> BundleDelta | None:
        """Wait for a bundle greater than the requester's and return its delta.

        Parameters
        ----------
        held : HeldSections
            Bundle and sections that the requester holds.
        seconds : float
            Longest wait in seconds; None is returned when it has passed.
        """
        try:
            async with asyncio.timeout(seconds):
                while True:
                    changed = self._changed
                    if self._signed is not None:
                        bundle_delta = BundleDelta.pack(self._signed, held)
                        if bundle_delta is not None:
                            return bundle_delta
                    await changed.wait()
        except TimeoutError:
            return None


class BundleService(DistributionBase):
    """Service that hands bundles to other nodes.

    Parameters
    ----------
    held : HeldBundle
        Greatest bundle of this node.
    """

    def __init__(self, held: HeldBundle) -> None:
        self._held = held

    async def Fetch(self, stream: Stream) -> None:
        """Answer with a greater bundle, or with an empty reply after the wait."""
        request = await stream.recv_message()
        held = HeldSections(
            BundleVersion(request.version),
            request.digest.hex(),
            frozenset(digest.hex() for digest in request.sections),
        )
        seconds = min(request.wait_ms / 1000, MAX_WAIT_SECONDS)
        bundle_delta = await self._held.bundle_delta(held, seconds)
        await stream.send_message(_encode_reply(bundle_delta))


class BundleClient:
    """Client that fetches bundles from other nodes.

    Parameters
    ----------
    pool : PeerPool
        Channels to other nodes.
    """

    def __init__(self, pool: PeerPool) -> None:
        self._pool = pool

    async def fetch(
        self, peer: str, held: SignedBundle | None, wait: float
    ) -> SignedBundle | None:
        """Ask a node for a greater bundle; return None if it has none in time.

        Parameters
        ----------
        peer : str
            Address of the node.
        held : SignedBundle or None
            Greatest bundle of this node.
        wait : float
            Seconds for which the other node waits for a greater bundle.

        Raises
        ------
        ConnectionError
            If the node is unreachable or its answer is invalid.
        """
        known = HeldSections.of(held)
        request = FetchRequest(
            version=known.version,
            digest=bytes.fromhex(known.digest),
            sections=[bytes.fromhex(digest) for digest in sorted(known.sections)],
            wait_ms=int(wait * 1000),
        )
        stub = DistributionStub(self._pool.channel(peer))
        try:
            reply = await stub.Fetch(request, timeout=wait + ANSWER_MARGIN_SECONDS)
            return _decode_reply(reply, held)
        except (*FAILURES, TimeoutError, ValueError, KeyError) as error:
            raise ConnectionError(str(error)) from error


def _encode_reply(bundle_delta: BundleDelta | None) -> FetchReply:
    if bundle_delta is None:
        return FetchReply()
    return FetchReply(
        manifest=bundle_delta.manifest,
        signature=bundle_delta.signature,
        public_key=bundle_delta.public_key,
        sections=[
            Section(name=name, text=text)
            for name, text in bundle_delta.sections.items()
        ],
    )


def _decode_reply(reply: FetchReply, held: SignedBundle | None) -> SignedBundle | None:
    if not reply.manifest:
        return None
    sections = {section.name: section.text for section in reply.sections}
    bundle_delta = BundleDelta(
        reply.manifest, reply.signature, reply.public_key, sections
    )
    return apply_bundle_delta(bundle_delta, held)
