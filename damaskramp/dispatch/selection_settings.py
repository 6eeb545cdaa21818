"""Settings of the choice of a backend server."""

from dataclasses import dataclass, field

from damaskramp.dispatch.expected_finish import FinishSettings

__all__ = ["SelectionSettings"]


@dataclass(frozen=True, slots=True)
class SelectionSettings:
    """Settings for leaving the availability zone and for avoiding servers.

    Attributes
    ----------
    spill_load : float
        Share of a server's slots in use from which servers of other zones are
        considered. A queue begins to form soon above this load.
    slow_factor : float
        Largest expected time of a preferred server of the own zone, as a multiple of
        the shortest among all servers.
    tight_slow_factor : float
        Largest expected time of a preferred server of the own zone, as a multiple of
        the median, for requests with little time to spare. Similar servers differ in
        speed by up to a factor of two, while sending a request to another zone adds
        less than a tenth to its time.
    load_decay_seconds : float
        Time over which the weight of the reported load of other hosts falls from 1 to
        0; load changes within about a service time.
    refusal_seconds : float
        Time for which a server that has refused a request is not asked again for
        equally or less important requests; this is a few service times.
    failure_weight : float
        The expected time is multiplied by 1 + `failure_weight` * (share of failures).
    cold_factor : float
        Factor by which a server that has just started is assumed to be slower.
    smoothing : float
        Weight of the newest outcome in the moving average of failures.
    finish : FinishSettings
        Settings of the choice among servers that state their pace.
    """

    spill_load: float = 0.8
    slow_factor: float = 4.0
    tight_slow_factor: float = 1.5
    load_decay_seconds: float = 1.0
    refusal_seconds: float = 0.08
    failure_weight: float = 20.0
    cold_factor: float = 2.5
    smoothing: float = 0.1
    finish: FinishSettings = field(default_factory=FinishSettings)
