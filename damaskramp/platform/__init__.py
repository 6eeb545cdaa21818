"""The users' platform: its names, its formats, and its metadata store.

Everything that knows how the platform speaks is in this package, and nothing here
decides: it turns what the platform says into the types of `damaskramp.fleet`.
"""

from damaskramp.platform.decode import DecodeError, decode_configuration
from damaskramp.platform.names import PLATFORM_HEADERS, READINESS_PATH
from damaskramp.platform.store import MetadataStore

__all__ = [
    "PLATFORM_HEADERS",
    "READINESS_PATH",
    "DecodeError",
    "MetadataStore",
    "decode_configuration",
]
