"""Adapter to the users' platform: header names, document formats, metadata store.

All code that depends on the platform's formats is in this package. The package makes no
decisions: it converts the platform's data to the types of `damaskramp.fleet`.
"""

from damaskramp.platform.decode import DecodeError, decode_configuration
from damaskramp.platform.names import PLATFORM_HEADERS, READINESS_PATH
from damaskramp.platform.stated_terms import STATED_TERMS_VARIABLE, read_stated_terms
from damaskramp.platform.store import MetadataStore

__all__ = [
    "PLATFORM_HEADERS",
    "READINESS_PATH",
    "STATED_TERMS_VARIABLE",
    "DecodeError",
    "MetadataStore",
    "decode_configuration",
    "read_stated_terms",
]
