"""Admission by the pressure on chains, under a stress that begins and ends.

The tests play requests at the top whose calls are rejected further below, with a
limited number of repeats, and compare goodput with that without admission.
"""

import random

from testtools import TestCase

from damaskramp.dispatch import ChainAdmission, ChainPressure, PressureEntry
from damaskramp.dispatch.pressure import FailureGauge

RANKS = {"postings": 0, "lookups": 2}
CALLS = {"postings": 4, "lookups": 8}
RATES = {"postings": 40.0, "lookups": 110.0}
REJECT_SHARE = 0.55
REPEATS_PER_SECOND = 180.0
"""About what the postings need: 40 x 4 x 0.55 / 0.45 = 196 a second."""

STRESS = (2.0, 10.0)
END = 13.0


class _Play:
    """Requests at the top, whose calls and repeats are played at once."""

    def __init__(self, admission, rates=RATES, reject_share=REJECT_SHARE, seed=1):
        self.admission = admission
        self.source = random.Random(seed)
        self.rates, self.reject_share = rates, reject_share
        self.fail, self.denied = FailureGauge(), FailureGauge()
        self.lost = FailureGauge()
        self.tokens = 30.0
        self.asked = dict.fromkeys(rates, 0)
        self.served = dict(self.asked)
        self.refused = dict(self.asked)
        self.refused_after = 0

    def run(self):
        events = []
        for kind, rate in self.rates.items():
            at = 0.0
            while (at := at + self.source.expovariate(rate)) < END:
                events.append((at, kind))
        last = 0.0
        for now, kind in sorted(events):
            self.tokens = min(30.0, self.tokens + (now - last) * REPEATS_PER_SECOND)
            last = now
            in_stress = STRESS[0] <= now < STRESS[1]
            admitted = True
            if self.admission is not None:
                entries = self.entries(CALLS[kind], now)
                admitted = self.admission.admits(kind, RANKS[kind], entries, now)
            if in_stress:
                self.asked[kind] += 1
                self.refused[kind] += not admitted
                self.served[kind] += admitted and self.finishes(kind, now, True)
            elif not admitted:
                self.refused_after = now - STRESS[1]
            else:
                self.finishes(kind, now, False)
        return self

    def finishes(self, kind, now, in_stress):
        for _ in range(CALLS[kind]):
            rejected = in_stress and self.source.random() < self.reject_share
            self.fail.record(rejected, now)
            wanted = rejected
            while rejected and self.tokens >= 1.0:
                self.tokens -= 1.0
                rejected = self.source.random() < self.reject_share
            self.lost.record(rejected, now)
            self.denied.record(wanted and rejected, now)
            if rejected:
                return False
        return True

    def entries(self, calls, now):
        fail = self.fail.share(now)
        if fail < 0.05:
            return ()
        denied = min(1.0, self.denied.share(now) / fail)
        return (PressureEntry("deep", calls, fail, self.lost.share(now), denied, 0),)

    def share(self, kind):
        return self.served[kind] / self.asked[kind]


class TestChainAdmission(TestCase):
    def test_important_chains_finish_while_lower_ranks_are_refused(self):
        """Without admission the repeats go to chains that fail all the same.

        The repeats alone would carry 0.85 of the postings.
        """
        plain = _Play(None).run()
        play = _Play(ChainAdmission()).run()
        self.assertGreater(play.share("postings"), 3 * plain.share("postings"))
        self.assertGreater(play.share("postings"), 0.55)
        self.assertLess(play.refused["postings"], 0.02 * play.asked["postings"])

    def test_the_end_of_the_stress_is_seen_within_a_second(self):
        play = _Play(ChainAdmission()).run()
        self.assertGreater(play.refused["lookups"], 0)
        self.assertLess(play.refused_after, 1.0)

    def test_a_small_share_goes_through_in_any_stress(self):
        """Without any request the end of the stress would not be seen."""
        admission = ChainAdmission()
        entry = PressureEntry("deep", 8.0, 0.95, 0.95, 1.0, 0)
        admitted = [
            admission.admits("lookups", 2, (entry,), at / 100) for at in range(1000)
        ]
        for second in range(10):
            count = sum(admitted[100 * second : 100 * second + 100])
            self.assertGreaterEqual(count, 3)
            self.assertLess(count, 10)

    def test_a_light_stress_refuses_nobody(self):
        """Repeats are enough for all, so a refusal would only lose goodput."""
        play = _Play(ChainAdmission(), reject_share=0.1).run()
        self.assertEqual(0, sum(play.refused.values()))
        self.assertGreater(play.share("lookups"), 0.98)

    def test_equal_ranks_alone_are_reduced_to_what_the_repeats_carry(self):
        plain = served = 0
        for seed in range(1, 7):
            rates = {"lookups": 110.0}
            plain += _Play(None, rates, seed=seed).run().served["lookups"]
            play = _Play(ChainAdmission(), rates, seed=seed).run()
            served += play.served["lookups"]
        self.assertGreater(served, 1.3 * plain)

    def test_nothing_is_refused_after_a_pause_that_outlasts_the_news(self):
        admission = ChainAdmission()
        entry = PressureEntry("deep", 8.0, 0.55, 0.45, 0.8, 10)
        for n in range(100):
            admission.admits("lookups", 2, (entry,), n / 100)
        self.assertTrue(all(admission.admits("lookups", 2, (), 3.0) for _ in range(9)))

    def test_important_chains_alone_are_not_refused_at_once(self):
        admission = ChainAdmission()
        entry = PressureEntry("deep", 4.0, 0.55, 0.4, 0.7, 0)
        admitted = [
            admission.admits("postings", 0, (entry,), at / 100) for at in range(40)
        ]
        self.assertTrue(all(admitted))

    def test_chains_without_calls_to_the_stressed_service_are_not_refused(self):
        admission = ChainAdmission()
        self.assertTrue(all(admission.admits("lists", 2, (), n) for n in range(9)))


class TestChainPressure(TestCase):
    def learned(self, calls=4):
        pressure = ChainPressure("third")
        for n in range(100):
            now = n * 0.05
            pressure.calls_per_run.record_run("entries", now)
            for _ in range(calls):
                pressure.calls_per_run.record_call("deep", "", now)
        return pressure, 5.0

    def stated(self, fail):
        return (PressureEntry("deep", 1.0, fail, 0.0, 0.0, 0),)

    def test_pressure_is_multiplied_by_the_calls_of_each_level(self):
        third, now = self.learned()
        for _ in range(30):
            third.record_statement("deep", "deep", self.stated(0.5), now)
        (entry,) = third.on_kind("entries", now)
        self.assertEqual(("deep", 4.0), entry[:2])
        self.assertAlmostEqual(0.5, entry.fail, 2)
        second = ChainPressure("second")
        for n in range(100):
            second.calls_per_run.record_run("views", n * 0.05)
            for _ in range(2):
                second.calls_per_run.record_call("entries", "views", n * 0.05)
        second.record_statement("entries", "third", (entry,), now)
        (above,) = second.on_kind("views", now)
        self.assertEqual(("deep", 8.0), above[:2])

    def test_a_failing_call_does_not_hide_the_calls_that_would_follow(self):
        """A request whose call fails makes no further ones."""
        pressure, now = self.learned()
        for n in range(200):
            at = now + n * 0.05
            pressure.calls_per_run.record_run("entries", at)
            pressure.calls_per_run.record_call("deep", "", at)
            pressure.calls_per_run.record_failed_call("deep")
        self.assertEqual({"deep": 4.0}, pressure.calls_per_run.of_kind("entries"))

    def test_pressure_of_a_silent_service_expires(self):
        """A service that is cut off, or not called, must not stay refused."""
        pressure, now = self.learned()
        for _ in range(30):
            pressure.record_statement("deep", "deep", self.stated(0.5), now)
        self.assertTrue(pressure.on_kind("entries", now + 1.0))
        self.assertEqual((), pressure.on_kind("entries", now + 2.0))
        pressure.record_statement("deep", "deep", (), now + 3.0)
        self.assertEqual((), pressure.on_kind("entries", now + 3.0))

    def test_an_empty_start_knows_no_pressure(self):
        pressure = ChainPressure("third")
        pressure.record_statement("deep", "deep", self.stated(0.5), 1.0)
        self.assertEqual((), pressure.on_kind("entries", 1.0))
        self.assertFalse(pressure.is_known("entries"))
