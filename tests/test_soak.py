"""Short seeded run of the fault soak, and tests of its checks."""

import asyncio
import dataclasses
import inspect
import subprocess
import sys
import types

from testtools import TestCase

from damaskramp.testing import StreamServer
from tests.relay_fleet import NETWORK, WORKER
from tests.soak.checker import Bounds
from tests.soak.checks import PROMISES, check
from tests.soak.host import ROOT
from tests.soak.mutants import MUTANTS
from tests.soak.proxy import Proxy
from tests.soak.record import Arrival, Notice, Record, Sent, Told
from tests.soak.run import REGRESSIONS_FOLDER, run_schedule
from tests.soak.schedule import EventKind, Schedule, make_schedule, with_clear_event

SHORT_SEED = 4
SHORT_SECONDS = 14.0
HOSTS = 4


def host(number, **changed):
    """Host of a fleet as the checks see it."""
    fields = {"zone": f"z{number}", "starts": [0.0], "peak_mb": 50.0}
    return types.SimpleNamespace(
        number=number, **{**fields, "peak_descriptors": 40, **changed}
    )


def fleet(*hosts):
    """Fleet as the checks see it."""
    return types.SimpleNamespace(
        hosts=hosts or [host(0), host(1)],
        team_rates=lambda: {"clubs": (0, 0), "press": (10, 5)},
    )


class RecordBuilder:
    """Records of requests that went well, until a test changes one."""

    def __init__(self):
        self.record = Record()

    def request(self, name, at=10.0, status=200, runs=1, **changed):
        """Add a request that ran, with its answer."""
        sent = {"team": "clubs", "key": "key-clubs-0", "host": 0, "service": "front"}
        sent.update({"idempotent": True, "at": at, "digest": "d"})
        given = {key: changed.pop(key) for key in list(changed) if key in sent}
        self.record.add_sent(Sent(name, **{**sent, **given}))
        told = {"answer_id": name, "digest": "d", "whole": True}
        given = {key: changed.pop(key) for key in list(changed) if key in told}
        self.record.add_told(Told(name, status, at + 0.1, **{**told, **given}))
        arrival = {"server": 1, "service": "front", "team": "clubs", "digest": "d"}
        arrival.update({"ran": True, "has_key": False})
        arrival.update(changed)
        for number in range(runs):
            when = at + 0.01 * (number + 1)
            self.record.arrivals.append(Arrival(request_id=name, at=when, **arrival))

    def notice(self, what, at, **changed):
        """Add a change."""
        self.record.notices.append(Notice(what, at, **changed))

    def broken(self, *hosts):
        """Names of the promises that the records break."""
        return {violation.promise for violation in check(self.record, fleet(*hosts))}


class TestChecks(TestCase):
    """Each promise, broken by one record in a run that otherwise keeps all."""

    def setUp(self):
        super().setUp()
        self.run_records = RecordBuilder()
        for number in range(5):
            self.run_records.request(f"good-{number}", at=8.0 + number)

    def assert_breaks(self, *promises, hosts=()):
        self.assertEqual(set(promises), self.run_records.broken(*hosts))

    def test_a_good_run_breaks_nothing(self):
        self.assert_breaks()

    def test_runs_and_answers(self):
        cases = (
            ("at_most_once", {"idempotent": False, "runs": 2}),
            ("true_refusals", {"status": 503}),
            ("own_answers", {"answer_id": "other"}),
            ("right_team", {"team": "press"}),
            ("no_key", {"has_key": True}),
        )
        for promise, changed in cases:
            with self.subTest(promise):
                self.run_records = RecordBuilder()
                self.run_records.request("bad", **changed)
                self.assert_breaks(promise)

    def test_a_request_that_nobody_sent(self):
        self.run_records.request("bad")
        del self.run_records.record.sent["bad"]
        del self.run_records.record.told["bad"]
        self.assert_breaks("asked_for")

    def test_a_withdrawn_key(self):
        self.run_records.notice("key withdrawn", 20.0, detail="key-clubs-0")
        self.run_records.request("soon", at=24.0)
        self.assert_breaks()
        self.run_records.request("late", at=25.5)
        self.assert_breaks("withdrawn_keys")

    def test_rates_of_teams(self):
        for number in range(100):
            self.run_records.request(f"p{number}", team="press", at=20 + number / 40)
        for arrival in self.run_records.record.arrivals:
            sent = self.run_records.record.sent[arrival.request_id]
            arrival.team = sent.team
        self.assert_breaks("team_rates")

    def test_retries(self):
        for number in range(20):
            self.run_records.request(f"r{number}", at=20 + number / 10, runs=3)
        self.assert_breaks("bounded_retries")

    def test_cold_servers(self):
        self.run_records.notice("cold", 20.0, host=1)
        for number in range(21):
            self.run_records.request(f"c{number}", at=20.5 + number / 50)
        self.assert_breaks("cold_servers")

    def test_stated_limits(self):
        self.run_records.notice("states_limit", 20.0, host=1, until=30.0)
        for number in range(40):
            self.run_records.request(f"l{number}", at=24.0 + number / 20)
        self.assert_breaks("stated_limits")

    def test_leaving_servers_and_evacuated_zones(self):
        self.run_records.notice("server left", 20.0, host=1, until=30.0)
        self.run_records.request("late", at=23.0)
        self.assert_breaks("left_servers")
        self.run_records.notice("zone evacuated", 40.0, detail="z1", until=50.0)
        self.run_records.request("evacuated", at=46.0)
        self.assert_breaks("left_servers", "evacuated_zones")

    def test_announcements_of_leaving(self):
        self.run_records.notice("said leaving", 20.0, host=1, until=30.0)
        self.run_records.request("soon", at=22.0)
        self.assert_breaks()
        self.run_records.request("late", at=23.0)
        self.assert_breaks("announced_leaving")

    def test_hosts_out_of_contact_are_excused(self):
        self.run_records.notice("server left", 20.0, host=1, until=30.0)
        self.run_records.notice("store_shut", 21.0, host=0, until=22.0)
        self.run_records.request("late", at=23.0)
        self.assert_breaks()

    def test_faults_of_other_hosts_and_links_excuse_nothing(self):
        """Guards against checks that judge nothing in a run with many faults."""
        self.run_records.notice("server left", 20.0, host=1, until=30.0)
        self.run_records.notice("store_shut", 21.0, host=1, until=22.0)
        self.run_records.notice("peers_silent", 21.0, host=0, until=22.0)
        self.run_records.request("late", at=23.0)
        self.assert_breaks("left_servers")

    def test_calls_of_repeated_runs_are_repeats(self):
        self.run_records.request("twice", at=19.0, runs=2)
        for number in range(20):
            self.run_records.request(f"call-{number}", at=20 + number / 10)
            sent = self.run_records.record.sent[f"call-{number}"]
            sent.is_call = sent.of_repeat = True
        self.assert_breaks("bounded_retries")

    def test_versions(self):
        self.run_records.notice("configuration", 0.0, detail="front")
        self.run_records.notice("configuration", 20.0, detail="inner")
        self.run_records.request("old", at=23.0, service="swap")
        self.run_records.record.arrivals[-1].service = "front"
        self.assert_breaks("configuration_in_force")
        self.run_records.request("new", at=21.0, service="swap")
        self.run_records.record.arrivals[-1].service = "inner"
        self.assert_breaks("configuration_in_force", "no_regression")

    def test_stated_versions(self):
        self.run_records.notice("stated version", 20.0, host=0, detail="6.0")
        self.run_records.notice("stated version", 21.0, host=0, detail="3.0")
        self.assert_breaks("versions_never_fall")

    def test_planned_stops(self):
        self.run_records.notice("terminate", 20.0, host=0, until=26.0)
        self.run_records.request("cut", at=19.95, status=0)
        self.assert_breaks("planned_stops")
        self.run_records.notice("node ends", 20.0, host=0, detail="overran", until=26.0)
        self.assert_breaks("planned_stops", "planned_stops_in_time")

    def test_processes(self):
        self.run_records.notice("node ended by itself", 20.0, host=0)
        self.run_records.notice("not recovered", 30.0, host=0)
        heavy = host(0, peak_mb=Bounds().memory_mb + 1)
        self.assert_breaks(
            "processes_live", "recovers", "bounded_memory", hosts=(heavy, host(1))
        )

    def test_every_promise_has_a_case(self):
        cases = inspect.getsource(type(self))
        self.assertEqual([], [name for name in PROMISES if f'"{name}"' not in cases])


class TestMutants(TestCase):
    def test_planted_faults_replace_what_the_program_has(self):
        """Guards against planted faults that a change of the program has disarmed."""
        code = "from tests.soak.mutants import MUTANTS\n"
        code += "for mutant in MUTANTS.values():\n    mutant.plant()"
        subprocess.run([sys.executable, "-c", code], cwd=ROOT, check=True)

    def test_planted_faults_break_known_promises(self):
        self.assertEqual(set(PROMISES), {m.promise for m in MUTANTS.values()})


class TestProxy(TestCase):
    def test_a_cut_silences_the_chosen_clients_only(self):
        """Guards against cuts between two hosts that cut all, or none."""
        address = f"127.{NETWORK + WORKER}.251.1"

        async def echo(reader, writer):
            while data := await reader.read(100):
                writer.write(data)

        async def answers(connection):
            reader, writer = connection
            writer.write(b"x")
            try:
                return await asyncio.wait_for(reader.read(1), 0.5) == b"x"
            except TimeoutError:
                return False

        async def scenario():
            target = StreamServer(echo)
            await target.start(address, 8297)
            proxy = Proxy((address, 8298), (address, 8297))
            await proxy.start()
            first = await asyncio.open_connection(address, 8298)
            second = await asyncio.open_connection(address, 8298)
            found = [await answers(first), await answers(second)]
            port = first[1].get_extra_info("sockname")[1]
            proxy.set_cut(lambda ports: ports & {port})
            found += [await answers(first), await answers(second)]
            proxy.set_cut(None)
            # What was sent during the cut arrives now, so the link has lost nothing.
            found += [await answers(first), await answers(second)]
            for _, writer in (first, second):
                writer.close()
            proxy.stop()
            target.stop()
            return found

        self.assertEqual([True, True, False, True, True, True], asyncio.run(scenario()))


class TestSchedules(TestCase):
    def test_a_seed_gives_the_same_schedule_again(self):
        first = make_schedule(7, 30.0, 6)
        self.assertEqual(first, make_schedule(7, 30.0, 6))
        self.assertEqual(first, Schedule.from_json(first.to_json()))

    def test_an_unreadable_schedule_is_refused(self):
        self.assertRaises(ValueError, Schedule.from_json, "{}")

    def test_regression_cases_state_their_cause(self):
        files = list(REGRESSIONS_FOLDER.glob("*.json"))
        self.assertNotEqual([], files)
        for file in files:
            schedule = Schedule.from_json(file.read_text("utf-8"))
            self.assertNotEqual("", schedule.cause, file.name)

    def test_a_clear_event_is_near_no_other(self):
        """Guards against planted faults that other faults excuse."""
        for seed in range(200, 204):
            schedule = make_schedule(seed, 25.0, 6)
            extended = with_clear_event(schedule, EventKind.DRAINS)
            *others, last = extended.events
            self.assertEqual(list(schedule.events), others)
            self.assertIs(EventKind.DRAINS, last.kind)
            latest = max(event.at + event.seconds for event in others)
            self.assertGreater(last.at - latest, Bounds().stable_window)

    def test_all_kinds_occur_in_few_seeds(self):
        """Guards against planted faults whose occasion a few seeds do not contain."""
        for first in range(0, 40, 4):
            seeds = range(first, first + 4)
            events = [e for s in seeds for e in make_schedule(s, 25.0, 6).events]
            self.assertEqual(set(EventKind), {event.kind for event in events})


class TestShortRun(TestCase):
    def test_promises_hold(self):
        """Guards against faults that only real processes under disruption show."""
        schedule = make_schedule(SHORT_SEED, SHORT_SECONDS, HOSTS)
        violations = run_schedule(schedule, callers=2)
        self.assertEqual([], [dataclasses.astuple(v) for v in violations])
