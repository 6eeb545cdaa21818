"""What the platform publishes: configuration values and the list of hosts."""

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
