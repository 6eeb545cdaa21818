"""Checks of a run's records against the promises of the system.

Times and bounds come from the promises. Checks that hold only for hosts in contact
with the platform and with each other skip requests near a fault of their host.
"""

import dataclasses

from tests.soak.checker import Bounds, Checker
from tests.soak.configuration_checks import (
    configuration_in_force,
    no_regression,
    versions_never_fall,
)
from tests.soak.process_checks import (
    bounded_memory,
    planned_stops,
    planned_stops_in_time,
    processes_live,
    recovers,
)
from tests.soak.request_checks import (
    asked_for,
    at_most_once,
    bounded_retries,
    no_key,
    own_answers,
    right_team,
    team_rates,
    true_refusals,
    withdrawn_keys,
)
from tests.soak.server_checks import (
    announced_leaving,
    cold_servers,
    evacuated_zones,
    left_servers,
    stated_limits,
)

__all__ = ["PROMISES", "Violation", "check"]


@dataclasses.dataclass(frozen=True)
class Violation:
    """Broken promise, with what shows it."""

    promise: str
    at: float
    detail: str


def check(record, fleet):
    """Return the violations in the records of a run.

    Parameters
    ----------
    fleet : SoakFleet
        Fleet of the run: teams with their rates, hosts with their zones and peaks.
    """
    checker = Checker(record, fleet, Bounds())
    return [
        Violation(name, at, detail)
        for name, function in PROMISES.items()
        for at, detail in function(checker)
    ]


PROMISES = {
    function.__name__: function
    for function in (
        at_most_once,
        true_refusals,
        own_answers,
        asked_for,
        right_team,
        no_key,
        withdrawn_keys,
        team_rates,
        bounded_retries,
        cold_servers,
        stated_limits,
        left_servers,
        announced_leaving,
        evacuated_zones,
        configuration_in_force,
        no_regression,
        planned_stops,
        planned_stops_in_time,
        processes_live,
        bounded_memory,
        versions_never_fall,
        recovers,
    )
}
"""Promises by name; each function yields the time and detail of each violation."""
