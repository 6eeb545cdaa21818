"""Parts of a node under the names that a checkout has, and stand-ins for others."""

import importlib
import operator
from types import SimpleNamespace

__all__ = ["Clock", "Links", "Transport", "first_of", "replace_time"]


class Clock:
    """Virtual clock of a node."""

    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        """Return the time, in seconds."""
        return self.now


class Transport:
    """Transport that keeps the bytes of the last write."""

    def __init__(self):
        self.written = b""

    def write(self, data):
        """Keep the bytes."""
        self.written = bytes(data)

    def get_extra_info(self, name, default=None):
        """Return the default."""
        return default

    def get_write_buffer_size(self):
        """Return 0: all bytes are taken at once."""
        return 0

    def is_closing(self):
        """Return False."""
        return False

    def set_write_buffer_limits(self, high=None, low=None):
        """Do nothing."""

    def abort(self):
        """Do nothing."""


def first_of(root, *paths):
    """Attribute at the first of the dotted paths that this checkout has."""
    for path in paths:
        try:
            return operator.attrgetter(path)(root)
        except AttributeError:
            continue
    raise AttributeError(paths[0])


def replace_time(clock):
    """Replace the clock of a node in the module that assembles its parts."""
    try:
        module = importlib.import_module("damaskramp.relay.node_parts")
    except ModuleNotFoundError:
        module = importlib.import_module("damaskramp.relay.node")
    module.time = SimpleNamespace(monotonic=clock)


class Links:
    """Links of a node to its peers, under the names that this checkout has."""

    def __init__(self, peers):
        self._owner = getattr(peers, "links", peers)
        self._open = first_of(peers, "links._open", "_open_link")
        self.retry_at = first_of(peers, "links._retry_at", "_retry_at")
        self.unreachable = first_of(peers, "hosts.unreachable", "_unreachable")

    @property
    def by_host(self):
        """Open links by host."""
        return first_of(self._owner, "by_host", "_links")

    def open(self, host):
        """Open the link to a host."""
        return self._open(host)

    def replace_open(self, open_link):
        """Let a function open the link to a host."""
        name = "_open" if hasattr(self._owner, "_open") else "_open_link"
        setattr(self._owner, name, open_link)

    def replace(self, find):
        """Let a function find the link to a host."""
        name = "get" if hasattr(self._owner, "get") else "_link"
        setattr(self._owner, name, find)
