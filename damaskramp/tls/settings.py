"""TLS settings."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

__all__ = ["CallerTlsSettings", "PeerTlsSettings", "TlsSettings"]

FilePath = Annotated[str, Field(min_length=1)]


class _Settings(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)


class CallerTlsSettings(_Settings):
    """Certificate presented to callers.

    Attributes
    ----------
    certificate, key : str
        Paths of PEM files.
    """

    certificate: FilePath
    key: FilePath


class PeerTlsSettings(_Settings):
    """Certificate presented to other nodes, and the authorities trusted for theirs.

    Attributes
    ----------
    certificate, key : str
        Paths of PEM files; the certificate contains the node's IP address.
    authorities : str
        Path of the PEM file of the authorities that sign the certificates of nodes.
    """

    certificate: FilePath
    key: FilePath
    authorities: FilePath


class TlsSettings(_Settings):
    """All TLS settings; without `callers` or `peers`, that side does not use TLS.

    Attributes
    ----------
    reload_seconds : float
        Interval between checks for renewed files.
    """

    callers: CallerTlsSettings | None = None
    peers: PeerTlsSettings | None = None
    reload_seconds: Annotated[float, Field(gt=0, strict=False)] = 30.0
