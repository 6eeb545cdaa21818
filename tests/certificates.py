"""Certificates for tests."""

import ipaddress
from datetime import UTC, datetime, timedelta
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

VALIDITY = timedelta(days=1)


class Authority:
    """Certificate authority with its own key."""

    def __init__(self, name: str) -> None:
        self._key = ec.generate_private_key(ec.SECP256R1())
        self._name = _name(name)
        builder = _builder(self._name, self._name, self._key.public_key())
        constraints = x509.BasicConstraints(ca=True, path_length=0)
        builder = builder.add_extension(constraints, critical=True)
        self._certificate = builder.sign(self._key, hashes.SHA256())

    def write(self, path: Path) -> str:
        """Write the authority's certificate and return its path."""
        path.write_bytes(self._certificate.public_bytes(serialization.Encoding.PEM))
        return str(path)

    def issue(self, directory: Path, name: str, address: str) -> tuple[str, str]:
        """Write a certificate for an IP address and its key and return their paths."""
        key = ec.generate_private_key(ec.SECP256R1())
        alternative = x509.IPAddress(ipaddress.ip_address(address))
        builder = _builder(_name(name), self._name, key.public_key())
        names = x509.SubjectAlternativeName([alternative])
        certificate = builder.add_extension(names, critical=False).sign(
            self._key, hashes.SHA256()
        )
        paths = directory / f"{name}.pem", directory / f"{name}.key"
        pem = serialization.Encoding.PEM
        paths[0].write_bytes(certificate.public_bytes(pem))
        paths[1].write_bytes(
            key.private_bytes(
                pem,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        return str(paths[0]), str(paths[1])


def _name(text: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, text)])


def _builder(
    subject: x509.Name, issuer: x509.Name, key: ec.EllipticCurvePublicKey
) -> x509.CertificateBuilder:
    now = datetime.now(UTC)
    return (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(issuer)
        .public_key(key)
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - VALIDITY)
        .not_valid_after(now + VALIDITY)
    )
