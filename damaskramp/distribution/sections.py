"""Transfer of a bundle without the sections that the requesting node holds."""

import hashlib
from dataclasses import dataclass

from damaskramp.bundle import SignedBundle
from damaskramp.core import BundleVersion

__all__ = ["BundleDelta", "HeldSections", "apply_bundle_delta"]


@dataclass(frozen=True, slots=True)
class HeldSections:
    """Bundle and sections that a requesting node holds.

    Attributes
    ----------
    version : BundleVersion
        Version of the bundle held, 0 if there is none.
    digest : str
        Digest of the manifest held, empty if there is none.
    sections : frozenset of str
        Digests of the sections held.
    """

    version: BundleVersion
    digest: str
    sections: frozenset[str]

    @classmethod
    def of(cls, signed: SignedBundle | None) -> "HeldSections":
        """Describe what a node with this bundle holds."""
        if signed is None:
            return cls(BundleVersion(0), "", frozenset())
        digests = frozenset(signed.section_digests.values())
        return cls(signed.version, signed.digest, digests)

    @property
    def order(self) -> tuple[int, str]:
        """Key that orders bundles; the bundle with the greater key takes precedence."""
        return self.version, self.digest


@dataclass(frozen=True, slots=True)
class BundleDelta:
    """Signed manifest with the sections that the requesting node lacks."""

    manifest: bytes
    signature: bytes
    public_key: str
    sections: dict[str, bytes]

    @classmethod
    def pack(cls, signed: SignedBundle, held: HeldSections) -> "BundleDelta | None":
        """Make the delta for a requesting node.

        Returns None if that node holds the same bundle or one of higher order.
        """
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
    """Rebuild a signed bundle from a delta and the sections of `held`.

    The result is not verified here: verification detects a section that is still
    missing or that does not match the manifest.
    """
    sections = dict(bundle_delta.sections)
    manifest_only = SignedBundle(
        bundle_delta.manifest, bundle_delta.signature, bundle_delta.public_key, {}
    )
    held_texts = held.sections.values() if held else ()
    by_digest = {hashlib.sha256(text).hexdigest(): text for text in held_texts}
    for name, digest in manifest_only.section_digests.items():
        if name not in sections and digest in by_digest:
            sections[name] = by_digest[digest]
    return SignedBundle(
        bundle_delta.manifest, bundle_delta.signature, bundle_delta.public_key, sections
    )
