"""TLS for callers and mutual TLS between nodes, renewed without a restart."""

from damaskramp.tls.contexts import TlsContexts
from damaskramp.tls.settings import CallerTlsSettings, PeerTlsSettings, TlsSettings

__all__ = ["CallerTlsSettings", "PeerTlsSettings", "TlsContexts", "TlsSettings"]
