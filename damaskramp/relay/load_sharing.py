"""Loads of servers in pings and pongs, and the distances that pings measure.

A ping carries ``[services, load]``: names of services that the sender asks about, and
the load of its own server or an empty list. A pong carries a list of loads. A load is
``[server, age in ms, in flight, limit, pace in percent]``. All lists are empty where
servers state no pace.
"""

from collections.abc import Callable, Collection

from damaskramp.core import ServiceName
from damaskramp.dispatch import KnownLoad, Load, LoadExchange, ServerSelector
from damaskramp.dispatch.zone_distances import ZoneDistances
from damaskramp.fleet import ServerId
from damaskramp.relay.fleet_view import FleetView
from damaskramp.relay.messages import check_types

__all__ = ["LoadSharing"]

LOAD_TYPES = (str, int, int, int, int)
"""Types of the elements that describe a load."""

MAX_ELEMENTS = 64
"""Most services or loads that are read from one message."""


class LoadSharing:
    """Sharing of loads with other nodes, and of what they say with the selection.

    Parameters
    ----------
    own_load : callable
        Returns the load of the backend server on this host.
    """

    def __init__(
        self,
        fleet_view: FleetView,
        loads: LoadExchange,
        selector: ServerSelector,
        distances: ZoneDistances,
        own_load: Callable[[], Load],
        clock: Callable[[], float],
    ) -> None:
        self._fleet_view = fleet_view
        self._loads = loads
        self._selector = selector
        self._distances = distances
        self._own_load = own_load
        self._clock = clock

    def ping_fields(self) -> list:
        """Services that this node asks about, and the load of its own server."""
        return [self._loads.services(self._clock()), self._own_fields()]

    def pong_fields(self, asked: object) -> list:
        """Take the fields of a ping; return the loads for its sender.

        Raises
        ------
        ValueError
            If the fields do not describe services and a load.
        """
        if not isinstance(asked, list) or len(asked) != 2:
            raise ValueError(f"{asked!r} does not describe services and a load")
        services, load = asked
        if not isinstance(services, list) or not all(
            isinstance(name, str) for name in services
        ):
            raise ValueError(f"{services!r} are no names of services")
        if load:
            self._take([load])
        now = self._clock()
        names = [ServiceName(name) for name in services[:MAX_ELEMENTS]]
        found = [self._pack(known, now) for known in self._loads.collect(names, now)]
        own, own_server = self._own_fields(), self._fleet_view.own_server
        if own and own_server.service in names:
            found = [own, *(fields for fields in found if fields[0] != own[0])]
        return found

    def receive_pong(self, host: str, loads: object, took: float) -> None:
        """Take the loads of a pong, and the time in seconds since its ping.

        Raises
        ------
        ValueError
            If the field does not describe loads.
        """
        if not isinstance(loads, list):
            raise ValueError(f"{loads!r} does not describe loads")
        zone = self._fleet_view.host_zones.get(host)
        if zone is not None and took >= 0.0:
            self._distances.record(zone, took)
        self._take(loads[:MAX_ELEMENTS])

    def retain(self, known: Collection[ServerId]) -> None:
        """Forget the loads of servers that are not in `known`."""
        self._loads.retain(known)

    def _take(self, loads: list) -> None:
        now = self._clock()
        told = [_unpack(fields, now) for fields in loads]
        directory, own = self._fleet_view.directory, self._fleet_view.own_server
        for load in self._loads.record_told(told):
            server = directory.find(load.server)
            if server is not None and server is not own:
                self._selector.record_told_load(server, load)

    def _own_fields(self) -> list:
        load, own = self._own_load(), self._fleet_view.own_server
        if not load.pace or own is None:
            return []
        in_flight = load.running + load.waiting
        return [own.id, 0, in_flight, load.limit, round(100 * load.pace)]

    def _pack(self, known: KnownLoad, now: float) -> list:
        age = max(0, round(1000 * (now - known.stated_at)))
        pace = round(100 * known.pace)
        return [known.server, age, known.in_flight, known.limit, pace]


def _unpack(fields: object, now: float) -> KnownLoad:
    check_types(fields, LOAD_TYPES, "the load of a server")
    server, age, in_flight, limit, pace = fields
    if min(age, in_flight, limit) < 0 or pace <= 0:
        raise ValueError(f"{fields!r} does not describe the load of a server")
    return KnownLoad(ServerId(server), in_flight, limit, pace / 100, now - age / 1000)
