"""Nodes with one planted fault each, by which the checks of the soak are tested.

``python -m tests.soak.mutants --mutant=NAME --settings=FILE`` runs the real program
after one of its functions has been replaced.
"""

import dataclasses
import sys
from collections.abc import Callable

from tests.soak.schedule import EventKind

__all__ = ["MUTANTS", "Mutant"]


@dataclasses.dataclass(frozen=True)
class Mutant:
    """A planted fault.

    Attributes
    ----------
    promise : str
        Promise that the fault breaks; a key of `PROMISES`.
    plant : callable
        Replaces a function of the program.
    occasion : EventKind or None
        Kind of an event that a schedule must have clear of others, so that no other
        fault excuses what the planted one does; None if any schedule will do.
    """

    promise: str
    plant: Callable[[], None]
    occasion: EventKind | None = None


def _replace(owner, name, value):
    """Replace an attribute; refuse one that the program no longer has."""
    if not hasattr(owner, name):
        raise AttributeError(f"{owner.__name__} has no {name}")
    setattr(owner, name, value)


def _repeat_everything():
    from damaskramp.dispatch.attempts import Attempts

    def may_repeat(self, now):
        return self.arrivals < 4 and not self._is_late(now)

    _replace(Attempts, "may_repeat", may_repeat)


def _promise_not_run():
    from damaskramp.core import Outcome, Reason
    from damaskramp.dispatch.attempts import Attempts

    _replace(
        Attempts,
        "final_outcome",
        lambda self, reason: (Reason.OVERLOADED, Outcome.NOT_RUN),
    )


def _keep_withdrawn_keys():
    from damaskramp.relay.fleet_view import FleetView

    original = FleetView.adopt_configuration

    def adopt_configuration(self, configuration):
        keys = dict(self._keys)
        adopted = original(self, configuration)
        if adopted:
            self._keys = {**keys, **self._keys}
            self._digests = {holder.digest for holder in self._keys.values()}
        return adopted

    _replace(FleetView, "adopt_configuration", adopt_configuration)


def _pass_on_keys():
    from damaskramp.relay.outgoing import OutgoingRequest

    original = OutgoingRequest.__init__

    def __init__(self, request, headers, team):
        original(self, request, headers, team)
        line, _, rest = self._head.partition(b"\r\n")
        field = b"%b: %b" % (headers.names.key, request.key)
        self._head = b"\r\n".join((line, field, rest))

    _replace(OutgoingRequest, "__init__", __init__)


def _admit_every_team():
    from damaskramp.relay.permits import Permits

    _replace(Permits, "admit", lambda self, team, done: done(True))


def _fill_cold_servers():
    from damaskramp.dispatch.cold_server import ColdServer

    _replace(ColdServer, "may_start", lambda self, now: True)
    _replace(ColdServer, "rate", lambda self, now: None)


def _accept_late_answers():
    from damaskramp.relay.answer_reader import AnswerReader

    _replace(AnswerReader, "_is_own_answer", lambda self: True)


def _forget_the_team():
    from damaskramp.relay.outgoing import OutgoingRequest

    original = OutgoingRequest.__init__

    def __init__(self, request, headers, team):
        original(self, request, headers, None)

    _replace(OutgoingRequest, "__init__", __init__)


def _ignore_stops():
    from damaskramp.relay.node import RelayNode

    async def stop(self):
        await self.abort()
        return True

    _replace(RelayNode, "stop", stop)


def _ignore_evacuations():
    from damaskramp.fleet.evacuations import Evacuations

    _replace(Evacuations, "zones", property(lambda self: frozenset()))


def _ignore_leaving_servers():
    from damaskramp.platform import decode

    _replace(decode, "LEAVING_BY_STATE", {"ready": False, "draining": False})


def _keep_first_configuration():
    from damaskramp.relay.fleet_view import FleetView

    original = FleetView.adopt_configuration

    def adopt_configuration(self, configuration):
        return self.configuration is None and original(self, configuration)

    _replace(FleetView, "adopt_configuration", adopt_configuration)


def _keep_every_body():
    from damaskramp.relay.caller_memory import BodyMemory

    def reserve(self, size):
        self.reserve_unchecked(size)
        return True

    _replace(BodyMemory, "reserve", reserve)


def _leak_descriptors():
    import os

    from damaskramp.relay.caller_connection import CallerConnection

    original = CallerConnection.receive_request

    def receive_request(self, request):
        os.dup(0)
        original(self, request)

    _replace(CallerConnection, "receive_request", receive_request)


def _reorder_answers():
    from damaskramp.relay.caller_connection import CallerConnection

    original = CallerConnection.take_turn

    def take_turn(self):
        self._pipelined.reverse()
        return original(self)

    _replace(CallerConnection, "take_turn", take_turn)


def _cut_bodies():
    from damaskramp.relay.outgoing import OutgoingRequest

    original = OutgoingRequest.__init__

    def __init__(self, request, headers, team):
        request.body = request.body[:1000]
        original(self, request, headers, team)

    _replace(OutgoingRequest, "__init__", __init__)


def _spend_without_budget():
    from damaskramp.dispatch.retry_budget import RetryBudget, SpendDecision

    def decide(self, service, now, depth, rank):
        return SpendDecision.ALLOWED

    _replace(RetryBudget, "decide", decide)


def _ignore_stated_limits():
    from damaskramp.dispatch.server_rate import ServerRate

    _replace(ServerRate, "_state_limit", lambda self, limit, now: None)


def _return_to_older_configuration():
    import asyncio

    from damaskramp.relay.fleet_view import FleetView

    original = FleetView.adopt_configuration
    version = FleetView.version

    def go_back(self, configuration):
        FleetView.version = 0
        original(self, configuration)
        FleetView.version = version

    def adopt_configuration(self, configuration):
        before = self.configuration
        adopted = original(self, configuration)
        if adopted and before is not None:
            asyncio.get_running_loop().call_later(1.0, go_back, self, before)
        return adopted

    _replace(FleetView, "adopt_configuration", adopt_configuration)


def _never_stop():
    import asyncio

    from damaskramp.relay.node import RelayNode

    _replace(RelayNode, "stop", lambda self: asyncio.sleep(3600))


def _end_with_a_link():
    import os

    from damaskramp.relay.peer_link import PeerLink

    original = PeerLink.connection_lost

    def connection_lost(self, error):
        if self._clock() - self._opened_at > 5.0:
            os._exit(1)
        original(self, error)

    _replace(PeerLink, "connection_lost", connection_lost)


def _never_trust_again():
    from damaskramp.relay.fleet_view import FleetView
    from damaskramp.relay.watcher import Watcher

    original = Watcher._read

    async def _read(self, work, asked_at):
        is_read = await original(self, work, asked_at)
        if not is_read:
            FleetView.keys_usable = False
        return is_read

    _replace(Watcher, "_read", _read)


def _ignore_announcements():
    from damaskramp.fleet.announcements import LeavingAnnouncements

    _replace(LeavingAnnouncements, "holds", lambda self, server, started: False)


MUTANTS = {
    "repeats": Mutant("at_most_once", _repeat_everything),
    "false_refusals": Mutant("true_refusals", _promise_not_run),
    "keeps_keys": Mutant("withdrawn_keys", _keep_withdrawn_keys),
    "passes_on_keys": Mutant("no_key", _pass_on_keys),
    "admits_all": Mutant("team_rates", _admit_every_team),
    "fills_cold_servers": Mutant("cold_servers", _fill_cold_servers),
    "accepts_late_answers": Mutant("own_answers", _accept_late_answers),
    "forgets_teams": Mutant("right_team", _forget_the_team),
    "cuts_at_stops": Mutant("planned_stops", _ignore_stops),
    "ignores_evacuations": Mutant("evacuated_zones", _ignore_evacuations),
    "ignores_leaving": Mutant(
        "left_servers", _ignore_leaving_servers, EventKind.DRAINS
    ),
    "ignores_announcements": Mutant("announced_leaving", _ignore_announcements),
    "keeps_configuration": Mutant("configuration_in_force", _keep_first_configuration),
    "keeps_bodies": Mutant("bounded_memory", _keep_every_body),
    "leaks_descriptors": Mutant("bounded_memory", _leak_descriptors),
    "reorders_answers": Mutant("own_answers", _reorder_answers),
    "cuts_bodies": Mutant("asked_for", _cut_bodies),
    "spends_without_budget": Mutant("bounded_retries", _spend_without_budget),
    "ignores_limits": Mutant("stated_limits", _ignore_stated_limits),
    "goes_back": Mutant("no_regression", _return_to_older_configuration),
    "states_lower": Mutant("versions_never_fall", _return_to_older_configuration),
    "never_stops": Mutant("planned_stops_in_time", _never_stop),
    "ends_with_a_link": Mutant("processes_live", _end_with_a_link),
    "never_trusts_again": Mutant("recovers", _never_trust_again),
}
"""Planted faults by name."""


def main():
    """Plant the fault named on the command line, and run the program."""
    option = next(word for word in sys.argv if word.startswith("--mutant="))
    sys.argv.remove(option)
    MUTANTS[option.removeprefix("--mutant=")].plant()
    from damaskramp.cli.node import main as run_node

    run_node()


if __name__ == "__main__":
    main()
