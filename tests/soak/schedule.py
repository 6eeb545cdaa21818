"""Schedules of faults, each determined by its seed.

Faults come in series and overlap. Changes of the configuration, withdrawn keys and
planned restarts are events of the schedule like the faults.
"""

import dataclasses
import itertools
import json
import random
from enum import Enum

__all__ = ["Event", "EventKind", "Schedule", "make_schedule", "with_clear_event"]

WARM_UP_SECONDS = 3.0
"""Time before the first event, so that rates and counts have a start without faults."""

MEAN_GAP_SECONDS = 0.9
"""Mean time between two events. Most faults last longer, so that they overlap."""

SERIES_SHARE = 0.25
"""Share of events that come as a series of the same kind on several hosts."""

SERIES_GAP_SECONDS = 0.4

CLEAR_SECONDS = 4.0
"""Time between the end of a schedule and an event that is clear of all others: the 3 s
for which the checks excuse a host after a fault, and 1 s in which a server starts."""


class EventKind(Enum):
    """Kind of an event; the value is its name in a saved schedule."""

    TERMINATE = "terminate"
    KILL = "kill"
    FREEZE = "freeze"
    PEERS_DELAYED = "peers_delayed"
    PEERS_RESET = "peers_reset"
    PEERS_SILENT = "peers_silent"
    PEERS_ONE_WAY = "peers_one_way"
    PEERS_TRICKLE = "peers_trickle"
    PAIR_CUT = "pair_cut"
    SERVER_RESET = "server_reset"
    SERVER_SILENT = "server_silent"
    SERVER_SLOW = "server_slow"
    SERVER_SHEDS = "server_sheds"
    SERVER_CRASH = "server_crash"
    ANSWERS_TWICE = "answers_twice"
    ANSWERS_LATE = "answers_late"
    ANSWERS_CUT = "answers_cut"
    ANSWERS_ENDLESS = "answers_endless"
    STATES_LIMIT = "states_limit"
    STATES_LEAVING = "states_leaving"
    LEAVING_TAKEN_BACK = "leaving_taken_back"
    DRAINS = "drains"
    STORE_SILENT = "store_silent"
    STORE_BUSY = "store_busy"
    STORE_SHUT = "store_shut"
    STORE_RESTORED = "store_restored"
    HISTORY_LOST = "history_lost"
    CONFIGURATION = "configuration"
    KEY_WITHDRAWN = "key_withdrawn"
    EVACUATION = "evacuation"
    SLOW_CALLERS = "slow_callers"
    UNFINISHED_BODIES = "unfinished_bodies"
    PIPELINED = "pipelined"
    LOG_UNREAD = "log_unread"


DURATIONS = {
    EventKind.FREEZE: (0.2, 2.5),
    EventKind.KILL: (0.2, 1.5),
    EventKind.CONFIGURATION: (0.0, 0.0),
    EventKind.KEY_WITHDRAWN: (0.0, 0.0),
    EventKind.HISTORY_LOST: (0.0, 0.0),
    EventKind.STORE_RESTORED: (0.5, 1.5),
    EventKind.EVACUATION: (8.0, 11.0),
    EventKind.STATES_LIMIT: (5.0, 8.0),
    EventKind.ANSWERS_LATE: (2.0, 5.0),
    EventKind.SERVER_SHEDS: (5.0, 8.0),
    EventKind.DRAINS: (4.0, 7.0),
    EventKind.STATES_LEAVING: (4.0, 7.0),
    EventKind.LEAVING_TAKEN_BACK: (4.0, 7.0),
}
"""Shortest and longest duration of an event, in seconds."""

LATEST_SECONDS = {
    EventKind.EVACUATION: 11.0,
    EventKind.STATES_LIMIT: 8.0,
    EventKind.SERVER_SHEDS: 8.0,
    EventKind.DRAINS: 7.0,
    EventKind.STATES_LEAVING: 7.0,
    EventKind.LEAVING_TAKEN_BACK: 7.0,
    EventKind.KEY_WITHDRAWN: 9.0,
}
"""Shortest time, in seconds, from the start of an event to the end of the run, of kinds
that are judged after the time of a bound."""

DEFAULT_DURATION = (0.8, 4.0)

NEVER_IN_SERIES = frozenset(
    {
        EventKind.STORE_RESTORED,
        EventKind.HISTORY_LOST,
        EventKind.STORE_SILENT,
        EventKind.STORE_BUSY,
        EventKind.EVACUATION,
        EventKind.LEAVING_TAKEN_BACK,
        EventKind.SERVER_SHEDS,
    }
)


@dataclasses.dataclass(frozen=True)
class Event:
    """One event of a schedule.

    Attributes
    ----------
    at : float
        Seconds since the start of the run.
    seconds : float
        Duration; 0 for a change that lasts.
    host : int
        Number of the host. An evacuation is one of its zone, and requests are shed by
        all servers of its service.
    peer : int
        Number of the other host of a cut between two; -1 for other kinds.
    """

    at: float
    kind: EventKind
    host: int
    seconds: float
    peer: int = -1


@dataclasses.dataclass(frozen=True)
class Schedule:
    """Events of one run, in the order of their start.

    Attributes
    ----------
    seconds : float
        Time in which events may start and last.
    hosts : int
        Number of hosts.
    cause : str
        Why a run of the schedule failed; empty if none has.
    """

    seed: int
    seconds: float
    hosts: int
    events: tuple[Event, ...]
    cause: str = ""

    def without(self, position):
        """Return the schedule without one of its events."""
        events = self.events[:position] + self.events[position + 1 :]
        return dataclasses.replace(self, events=events)

    def to_json(self):
        """Return the schedule as the text of a file that a run can replay.

        Each event is on a line of its own.
        """
        document = dataclasses.asdict(self)
        events = document.pop("events")
        for event in events:
            event["kind"] = event["kind"].value
        lines = ",\n".join(f"  {json.dumps(event)}" for event in events)
        head = json.dumps(document, indent=1).removesuffix("\n}")
        return f'{head},\n "events": [\n{lines}\n ]\n}}\n'

    @classmethod
    def from_json(cls, text):
        """Read a schedule that was saved.

        Raises
        ------
        ValueError
            If the text isn't a saved schedule.
        """
        document = json.loads(text)
        try:
            events = tuple(
                Event(
                    e["at"],
                    EventKind(e["kind"]),
                    e["host"],
                    e["seconds"],
                    e.get("peer", -1),
                )
                for e in document["events"]
            )
            head = [document[name] for name in ("seed", "seconds", "hosts")]
            return cls(*head, events, document.get("cause", ""))
        except (KeyError, TypeError) as error:
            raise ValueError(f"not a saved schedule: {error!r}") from error


def _kinds_of(seed, kinds):
    """Yield the kinds of a seed's events.

    The second of two seeds goes on in the middle of the order of the first, so that a
    pair of runs of 25 s has nearly all kinds.
    """
    order = list(kinds)
    random.Random(f"kinds/{seed // 2}").shuffle(order)
    start = seed % 2 * (len(order) // 2)
    yield from itertools.cycle(order[start:] + order[:start])


def make_schedule(seed, seconds, hosts, kinds=tuple(EventKind)):
    """Return the schedule of a seed.

    Parameters
    ----------
    seconds : float
        Length of the run; the last events end by then.
    kinds : sequence of EventKind
        Kinds to draw from.

    Examples
    --------
    >>> make_schedule(3, 20.0, 6) == make_schedule(3, 20.0, 6)
    True
    """
    source = random.Random(seed)
    events = []
    at = WARM_UP_SECONDS
    drawn = _kinds_of(seed, kinds)
    while at < seconds:
        kind = next(drawn)
        in_series = source.random() < SERIES_SHARE and kind not in NEVER_IN_SERIES
        count = source.randint(2, max(2, hosts // 2)) if in_series else 1
        for number, host in enumerate(source.sample(range(hosts), min(count, hosts))):
            shortest, longest = DURATIONS.get(kind, DEFAULT_DURATION)
            start = at + number * SERIES_GAP_SECONDS
            latest = max(WARM_UP_SECONDS, seconds - LATEST_SECONDS.get(kind, 0.0))
            start = min(start, latest)
            length = min(source.uniform(shortest, longest), max(0.0, seconds - start))
            peer = -1
            if kind is EventKind.PAIR_CUT:
                peer = (host + source.randrange(1, hosts)) % hosts
            events.append(Event(round(start, 2), kind, host, round(length, 2), peer))
        at += source.expovariate(1.0 / MEAN_GAP_SECONDS)
    events.sort(key=lambda event: event.at)
    return Schedule(seed, seconds, hosts, tuple(events))


def with_clear_event(schedule, kind):
    """Return the schedule with a further event that no other one is near.

    The event is of the given kind, on the first host, and lasts as long as one of its
    kind may. Other events keep their time, so the schedule of a seed stays the same up
    to there.

    Examples
    --------
    >>> schedule = with_clear_event(make_schedule(3, 20.0, 6), EventKind.DRAINS)
    >>> schedule.events[-1].at
    24.0
    """
    at = schedule.seconds + CLEAR_SECONDS
    length = DURATIONS.get(kind, DEFAULT_DURATION)[1]
    event = Event(at, kind, 0, length)
    events = (*schedule.events, event)
    return dataclasses.replace(schedule, seconds=at + length, events=events)
