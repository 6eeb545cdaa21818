"""Handing bundles from node to node by gRPC."""

import asyncio

from grpclib.server import Stream

from damaskramp.bundle import SignedBundle
from damaskramp.core import BundleVersion
from damaskramp.distribution import BundleDelta, HeldSections, apply_bundle_delta
from damaskramp.node.peers import FAILURES, PeerPool
from damaskramp.wire.distribution_grpc import DistributionBase, DistributionStub
from damaskramp.wire.distribution_pb2 import FetchReply, FetchRequest, Section

__all__ = ["BundleClient", "BundleService", "HeldBundle"]

ANSWER_SECONDS = 1.0
LONGEST_WAIT_SECONDS = 30.0


class HeldBundle:
    """The greatest bundle of this node, and waiting for a greater one."""

    def __init__(self) -> None:
        self._signed: SignedBundle | None = None
        self._changed = asyncio.Event()

    @property
    def signed(self) -> SignedBundle | None:
        """Greatest bundle."""
        return self._signed

    def replace(self, signed: SignedBundle) -> None:
        """Hold a greater bundle and wake who waits for it."""
        self._signed = signed
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def bundle_delta(
        self, held: HeldSections, seconds: float
    ) -> BundleDelta | None:
        """Parcel for an asker, waiting for a greater bundle."""
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
    """Server side.

    Parameters
    ----------
    held : HeldBundle
        Bundle to hand on.
    """

    def __init__(self, held: HeldBundle) -> None:
        self._held = held

    async def Fetch(self, stream: Stream) -> None:
        """Answer with a greater bundle, or empty when the time is over."""
        request = await stream.recv_message()
        held = HeldSections(
            BundleVersion(request.version),
            request.digest.hex(),
            frozenset(digest.hex() for digest in request.sections),
        )
        seconds = min(request.wait_ms / 1000, LONGEST_WAIT_SECONDS)
        bundle_delta = await self._held.bundle_delta(held, seconds)
        await stream.send_message(_reply(bundle_delta))


class BundleClient:
    """Client side.

    Parameters
    ----------
    pool : PeerPool
        Channels.
    """

    def __init__(self, pool: PeerPool) -> None:
        self._pool = pool

    async def fetch(
        self, peer: str, held: SignedBundle | None, wait: float
    ) -> SignedBundle | None:
        """Ask a node for a greater bundle.

        Raises
        ------
        ConnectionError
            If the node can't be reached or its answer can't be read.
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
            reply = await stub.Fetch(request, timeout=wait + ANSWER_SECONDS)
            return _signed(reply, held)
        except (*FAILURES, TimeoutError, ValueError, KeyError) as error:
            raise ConnectionError(str(error)) from error


def _reply(bundle_delta: BundleDelta | None) -> FetchReply:
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


def _signed(reply: FetchReply, held: SignedBundle | None) -> SignedBundle | None:
    if not reply.manifest:
        return None
    sections = {section.name: section.text for section in reply.sections}
    bundle_delta = BundleDelta(
        reply.manifest, reply.signature, reply.public_key, sections
    )
    return apply_bundle_delta(bundle_delta, held)
