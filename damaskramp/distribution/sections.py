"""Handing on a bundle without the sections that the asker holds."""

import hashlib
from dataclasses import dataclass

from damaskramp.bundle import SignedBundle
from damaskramp.core import BundleVersion

__all__ = ["BundleDelta", "HeldSections", "apply_bundle_delta"]


@dataclass(frozen=True, slots=True)
class HeldSections:
    """What an asker holds.

    Attributes
    ----------
    version : BundleVersion
        0 for none.
    digest : str
        Digest of the manifest held.
    sections : frozenset of str
        Digests of the sections held.
    """

    version: BundleVersion
    digest: str
    sections: frozenset[str]

    @classmethod
    def of(cls, signed: SignedBundle | None) -> "HeldSections":
        """What a node with this bundle holds."""
        if signed is None:
            return cls(BundleVersion(0), "", frozenset())
        digests = frozenset(signed.section_digests.values())
        return cls(signed.version, signed.digest, digests)

    @property
    def order(self) -> tuple[int, str]:
        """Order in which bundles win."""
        return self.version, self.digest


@dataclass(frozen=True, slots=True)
class BundleDelta:
    """A signed manifest with the sections that the asker lacks."""

    manifest: bytes
    signature: bytes
    public_key: str
    sections: dict[str, bytes]

    @classmethod
    def pack(cls, signed: SignedBundle, held: HeldSections) -> "BundleDelta | None":
        """Parcel for an asker; None where it holds as great a bundle."""
        if signed.order <= held.order:
            return None
        sections = {
            name: text
            for name, text in signed.sections.items()
            if signed.section_digests[name] not in held.sections
        }
        return cls(signed.manifest, signed.signature, signed.public_key, sections)


def apply_bundle_delta(
    bundle_delta: BundleDelta, held: SignedBundle | None
) -> SignedBundle:
    """Signed bundle of a parcel, its missing sections taken from `held`.

    What is still missing or does not fit shows when the result is verified.
    """
    sections = dict(bundle_delta.sections)
    bare = SignedBundle(
        bundle_delta.manifest, bundle_delta.signature, bundle_delta.public_key, {}
    )
    texts = held.sections.values() if held else ()
    by_digest = {hashlib.sha256(text).hexdigest(): text for text in texts}
    for name, digest in bare.section_digests.items():
        if name not in sections and digest in by_digest:
            sections[name] = by_digest[digest]
    return SignedBundle(
        bundle_delta.manifest, bundle_delta.signature, bundle_delta.public_key, sections
    )
