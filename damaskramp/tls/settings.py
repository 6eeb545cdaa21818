"""Settings of TLS."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

__all__ = ["CallerTlsSettings", "PeerTlsSettings", "TlsSettings"]

FilePath = Annotated[str, Field(min_length=1)]


class _Settings(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)


class CallerTlsSettings(_Settings):
    """Certificate shown to callers.

    Attributes
    ----------
    certificate, key : str
        PEM files.
    """

    certificate: FilePath
    key: FilePath


class PeerTlsSettings(_Settings):
    """Certificate shown to other nodes, and whom to trust among them.

    Attributes
    ----------
    certificate, key : str
        PEM files; the certificate names the node's IP address.
    authorities : str
        PEM file of the authorities that sign the certificates of nodes.
    """

    certificate: FilePath
    key: FilePath
    authorities: FilePath


class TlsSettings(_Settings):
    """All settings of TLS; what is left out is served in the clear.

    Attributes
    ----------
    reload_seconds : float
        Time between two looks for renewed files.
    """

    callers: CallerTlsSettings | None = None
    peers: PeerTlsSettings | None = None
    reload_seconds: Annotated[float, Field(gt=0, strict=False)] = 30.0
