"""Interface of spreading small items to all nodes.

An item has a topic, a key and a version. The greatest version of each key is
spread to every member, along any path that exists, and told to subscribers once.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from damaskramp.core import HostId

__all__ = ["Broadcast", "Item", "LocalBroadcast", "Topic"]


class Topic(Enum):
    """What an item is about."""

    BUNDLE = "bundle"
    QUARANTINE = "quarantine"
    QUOTA = "quota"


@dataclass(frozen=True, slots=True)
class Item:
    """A small item.

    Attributes
    ----------
    payload : bytes
        At most a few hundred bytes.
    origin : HostId
        Host that announced it.
    """

    topic: Topic
    key: str
    version: int
    payload: bytes
    origin: HostId


Subscriber = Callable[[Item], None]


class Broadcast(ABC):
    """Spreads items over the members."""

    def __init__(self) -> None:
        self._subscribers: dict[Topic, list[Subscriber]] = {}

    def subscribe(self, topic: Topic, subscriber: Subscriber) -> None:
        """Tell `subscriber` of each new item of a topic from other hosts."""
        self._subscribers.setdefault(topic, []).append(subscriber)

    def deliver(self, item: Item) -> None:
        """Tell the subscribers of a new item."""
        for subscriber in self._subscribers.get(item.topic, ()):
            subscriber(item)

    @abstractmethod
    def announce(self, topic: Topic, key: str, version: int, payload: bytes) -> None:
        """Spread an item of this host."""


class LocalBroadcast(Broadcast):
    """Baseline: nothing leaves this host."""

    def announce(self, topic: Topic, key: str, version: int, payload: bytes) -> None:
        """Drop the item."""
