"""Clients of the platform's published data: configuration values and the host list."""

from damaskramp.sources.configuration import (
    ConfigurationSource,
    HttpConfigurationSource,
    PublishedValue,
)
from damaskramp.sources.hosts import HostList, HttpHostList, ListedHost

__all__ = [
    "ConfigurationSource",
    "HostList",
    "HttpConfigurationSource",
    "HttpHostList",
    "ListedHost",
    "PublishedValue",
]
