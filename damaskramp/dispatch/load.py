"""Load of a backend server, as its node reports it."""

from typing import NamedTuple

from damaskramp.dispatch.call_depths import UNKNOWN

__all__ = ["Load"]


class Load(NamedTuple):
    """Load of a backend server at one moment.

    It is made several times for each call, and a tuple is made in a fifth of the time
    of a frozen dataclass.

    Attributes
    ----------
    service_time : float
        Mean time of a run in seconds.
    depth : int
        Number of levels of services below this one that its calls reach; see
        `CallDepths`.
    rate_limit : float
        Requests a second that the server takes from all hosts together; 0 if it states
        no limit.
    rate_wait : float
        Seconds until the limit has room for a further request of the same rank.
    leaving : bool
        Whether the server has announced that it is leaving.
    warmup_left : float
        Seconds until the server is no longer limited because it is cold; 0 if it isn't.
    pressure : tuple of PressureEntry
        Stressed services that a request of this kind depends on, this one included;
        lists in place of entries if received from another node.
    pace : float
        How long work takes on the server's host, as a multiple of the usual; 0 if the
        server does not state it.
    run_time : float
        Mean run time of the request's kind at the usual pace, in seconds; 0 if it is
        not known or the server states no pace.
    queue_wait : float
        Seconds for which a further request of the same rank would wait; 0 if the server
        states no pace.
    """

    running: int
    waiting: int
    limit: int
    service_time: float
    depth: int = UNKNOWN
    rate_limit: float = 0
    rate_wait: float = 0
    leaving: bool = False
    warmup_left: float = 0
    pressure: tuple = ()
    pace: float = 0
    run_time: float = 0
    queue_wait: float = 0
