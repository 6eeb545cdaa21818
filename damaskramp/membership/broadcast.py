"""Interface for broadcasting small items to all nodes.

An item has a topic, a key and a version. The greatest version of each key is
delivered to every member along any available path, and passed to subscribers once.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from damaskramp.core import HostId

__all__ = ["Broadcast", "Item", "LocalBroadcast", "Topic"]


class Topic(Enum):
    """Topic of an item."""

    BUNDLE = "bundle"
    QUARANTINE = "quarantine"
    QUOTA = "quota"


@dataclass(frozen=True, slots=True)
class Item:
    """A small item that is broadcast to all nodes.

    Attributes
    ----------
    topic : Topic
        Topic, which selects the subscribers.
    key : str
        Key under which a greater version replaces a smaller one.
    version : int
        Version of the item.
    payload : bytes
        Contents, at most a few hundred bytes.
    origin : HostId
        Host that announced the item.
    """

    topic: Topic
    key: str
    version: int
    payload: bytes
    origin: HostId


Subscriber = Callable[[Item], None]


class Broadcast(ABC):
    """Broadcasts items to the members."""

    def __init__(self) -> None:
        self._subscribers: dict[Topic, list[Subscriber]] = {}

    def subscribe(self, topic: Topic, subscriber: Subscriber) -> None:
        """Call `subscriber` with each new item of a topic from another host."""
        self._subscribers.setdefault(topic, []).append(subscriber)

    def deliver(self, item: Item) -> None:
        """Call the subscribers of a new item's topic."""
        for subscriber in self._subscribers.get(item.topic, ()):
            subscriber(item)

    @abstractmethod
    def announce(self, topic: Topic, key: str, version: int, payload: bytes) -> None:
        """Broadcast an item of this host.

        Parameters
        ----------
        topic : Topic
            Topic of the item.
        key : str
            Key of the item.
        version : int
            Version, greater than that of the former item of this key.
        payload : bytes
            Contents, at most a few hundred bytes.
        """


class LocalBroadcast(Broadcast):
    """Baseline implementation that sends nothing to other hosts."""

    def announce(self, topic: Topic, key: str, version: int, payload: bytes) -> None:
        """Drop the item."""
