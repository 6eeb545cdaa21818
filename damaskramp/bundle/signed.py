"""Signed bundles.

The signature covers a manifest with the version, the expiry time and the SHA-256
digest of each section. Sections are identified by their digests, so a node that has
the previous bundle needs only the sections that changed.

References
----------
RFC 8032, Edwards-Curve Digital Signature Algorithm (EdDSA).
"""

import hashlib
from dataclasses import dataclass
from datetime import UTC, datetime
from functools import cached_property

import orjson
from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives.asymmetric.ed25519 import (
    Ed25519PrivateKey,
    Ed25519PublicKey,
)
from expression import Error, Ok, Result
from pydantic import ValidationError

from damaskramp.bundle.model import Bundle
from damaskramp.core import BundleVersion, Findings, Place

__all__ = [
    "SignedBundle",
    "SigningKey",
    "sign_bundle",
    "verify_bundle",
    "verify_signed",
]

FORMAT_VERSION = 1
SIGNATURE_CONTEXT = b"damaskramp-bundle-1\0"


class SigningKey:
    """Ed25519 private key of the operators.

    Parameters
    ----------
    seed : bytes
        Secret seed of 32 bytes.
    """

    def __init__(self, seed: bytes) -> None:
        self._private = Ed25519PrivateKey.from_private_bytes(seed)

    @property
    def seed_hex(self) -> str:
        """Secret seed in hexadecimal."""
        return self._private.private_bytes_raw().hex()

    @property
    def public_hex(self) -> str:
        """Public key in hexadecimal."""
        return self._private.public_key().public_bytes_raw().hex()

    @classmethod
    def generate(cls) -> "SigningKey":
        """Generate a new key."""
        return cls(Ed25519PrivateKey.generate().private_bytes_raw())

    def sign(self, manifest: bytes) -> bytes:
        """Sign a manifest."""
        return self._private.sign(SIGNATURE_CONTEXT + manifest)


@dataclass(frozen=True)
class SignedBundle:
    """Serialized sections of a bundle, with their manifest and its signature.

    Attributes
    ----------
    manifest : bytes
        Canonical JSON that the signature covers.
    signature : bytes
        Ed25519 signature of 64 bytes.
    public_key : str
        Hexadecimal public key of the signer.
    sections : dict of str to bytes
        Canonical JSON of each section.
    """

    manifest: bytes
    signature: bytes
    public_key: str
    sections: dict[str, bytes]

    @cached_property
    def digest(self) -> str:
        """Hexadecimal SHA-256 digest of the manifest."""
        return hashlib.sha256(self.manifest).hexdigest()

    @cached_property
    def version(self) -> BundleVersion:
        """Version that the manifest states."""
        return BundleVersion(orjson.loads(self.manifest)["version"])

    @cached_property
    def section_digests(self) -> dict[str, str]:
        """Digest of each section, as stated in the manifest."""
        return dict(orjson.loads(self.manifest)["sections"])

    @cached_property
    def bundle(self) -> Bundle:
        """Contents as a validated model."""
        texts = {name: orjson.loads(text) for name, text in self.sections.items()}
        return Bundle.model_validate_json(orjson.dumps(texts))

    @property
    def order(self) -> tuple[int, str]:
        """Sort key of precedence: by version, then by digest; the greatest wins."""
        return self.version, self.digest

    def to_json(self) -> bytes:
        """Return the JSON document that the platform stores."""
        document = {
            "format": FORMAT_VERSION,
            "manifest": self.manifest.decode(),
            "signature": self.signature.hex(),
            "public_key": self.public_key,
            "sections": {k: v.decode() for k, v in self.sections.items()},
        }
        return orjson.dumps(document, option=orjson.OPT_INDENT_2)


def sign_bundle(bundle: Bundle, key: SigningKey) -> SignedBundle:
    """Sign a bundle.

    Examples
    --------
    >>> from datetime import datetime, timezone
    >>> moment = datetime(2026, 1, 1, tzinfo=timezone.utc)
    >>> head = {"version": 7, "issued": moment, "zones": ["z"], "classes": ["a"]}
    >>> bundle = Bundle.model_validate({"bundle": head})
    >>> key = SigningKey(bytes(32))
    >>> signed = sign_bundle(bundle, key)
    >>> verify_bundle(signed.to_json(), (key.public_hex,), "memory").ok.version
    7
    """
    values = bundle.model_dump(mode="json")
    options = orjson.OPT_SORT_KEYS
    sections = {name: orjson.dumps(values[name], option=options) for name in values}
    expires = bundle.bundle.expires
    manifest = orjson.dumps(
        {
            "version": bundle.bundle.version,
            "expires": expires.isoformat() if expires else None,
            "sections": {name: _digest(text) for name, text in sections.items()},
        },
        option=options,
    )
    return SignedBundle(manifest, key.sign(manifest), key.public_hex, sections)


def verify_bundle(
    data: bytes,
    public_keys: tuple[str, ...],
    source: str,
    now: datetime | None = None,
) -> Result[SignedBundle, Findings]:
    """Parse and verify a signed bundle.

    Parameters
    ----------
    data : bytes
        JSON document of the signed bundle.
    public_keys : tuple of str
        Hexadecimal keys that are trusted.
    source : str
        Name of the input in findings.
    now : datetime, optional
        Time at which the bundle must not have expired; without it, the expiry is not
        checked.

    Returns
    -------
    Result
        The verified bundle, or the findings.
    """
    findings = Findings()
    signed = _parse(data, source, findings)
    if signed is None:
        return Error(findings)
    return verify_signed(signed, public_keys, source, now)


def verify_signed(
    signed: SignedBundle,
    public_keys: tuple[str, ...],
    source: str,
    now: datetime | None = None,
) -> Result[SignedBundle, Findings]:
    """Verify a parsed bundle; the other parameters are those of `verify_bundle`."""
    findings = Findings()
    _check_signature(signed, public_keys, source, findings)
    _check_sections(signed, source, findings)
    if not findings.has_errors:
        _check_contents(signed, source, now, findings)
    return Error(findings) if findings.has_errors else Ok(signed)


def _digest(text: bytes) -> str:
    return hashlib.sha256(text).hexdigest()


def _parse(data: bytes, source: str, findings: Findings) -> SignedBundle | None:
    if not data.strip():
        findings.error(Place(source), "signed bundle is empty")
        return None
    try:
        document = orjson.loads(data)
        if document["format"] != FORMAT_VERSION:
            findings.error(Place(source, "format"), f"must be {FORMAT_VERSION}")
            return None
        sections = {k: v.encode() for k, v in document["sections"].items()}
        signature = bytes.fromhex(document["signature"])
        manifest = document["manifest"].encode()
        public_key = str(document["public_key"])
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        findings.error(Place(source), f"not a signed bundle: {error!r}")
        return None
    return SignedBundle(manifest, signature, public_key, sections)


def _check_signature(
    signed: SignedBundle, trusted: tuple[str, ...], source: str, findings: Findings
) -> None:
    place = Place(source, "signature")
    if signed.public_key not in trusted:
        findings.error(
            place, f"signed by {signed.public_key[:16]}…, which is not trusted"
        )
        return
    try:
        public_key = Ed25519PublicKey.from_public_bytes(
            bytes.fromhex(signed.public_key)
        )
        public_key.verify(signed.signature, SIGNATURE_CONTEXT + signed.manifest)
    except (InvalidSignature, ValueError):
        findings.error(place, "does not match the manifest")


def _check_sections(signed: SignedBundle, source: str, findings: Findings) -> None:
    try:
        stated = signed.section_digests
    except (ValueError, KeyError, TypeError):
        findings.error(Place(source, "manifest"), "malformed manifest")
        return
    for name in sorted(stated.keys() | signed.sections.keys()):
        place = Place(source, f"sections.{name}")
        if name not in signed.sections:
            findings.error(place, "missing")
        elif name not in stated:
            findings.error(place, "not in the manifest")
        elif _digest(signed.sections[name]) != stated[name]:
            findings.error(place, "does not match its digest")


def _check_contents(
    signed: SignedBundle, source: str, now: datetime | None, findings: Findings
) -> None:
    try:
        head = signed.bundle.bundle
    except (ValidationError, ValueError) as error:
        findings.error(Place(source, "sections"), str(error))
        return
    if head.version != signed.version:
        findings.error(
            Place(source, "manifest.version"),
            "differs from the version in the sections",
        )
    if now is not None and head.expires is not None:
        expires = head.expires
        if expires.tzinfo is None:
            expires = expires.replace(tzinfo=UTC)
        if expires <= now:
            message = f"expired at {expires.isoformat()}"
            findings.error(Place(source, "bundle.expires"), message)
