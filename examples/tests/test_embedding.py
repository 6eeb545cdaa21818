"""Every part runs embedded, and shows what it is there for."""

import re

from damaskramp.testing import LoopTestCase
from examples.embedding import (
    admission,
    balancing,
    dedup,
    distribution,
    membership,
    ownership,
    quarantine,
    quota,
    retries,
    slo,
)


def numbers(text: str) -> list[int]:
    return [int(number) for number in re.findall(r"\b\d+\b", text)]


class TestEmbedding(LoopTestCase):
    def test_admission_runs_the_important_calls(self):
        ballots, offered, reads, _, reports, _ = numbers(admission.main())
        self.assertEqual(offered, ballots)
        self.assertGreater(reads, reports)

    def test_balancing_ejects_the_failing_host(self):
        told = balancing.main()
        self.assertIn("ejected: desk-2;", told)
        equal_share = balancing.CALLS / 3
        self.assertLess(numbers(told.partition(";")[2])[0], equal_share / 2)

    def test_retries_stay_within_their_ratio(self):
        requests, attempts = numbers(retries.main())
        self.assertGreater(attempts, requests)
        self.assertLessEqual(attempts, requests * (1 + retries.RATIO))

    def test_second_death_quarantines_at_a_third_host(self):
        standings = "clear > suspect > quarantined > clear"
        self.assertEqual(standings, quarantine.main())

    def test_quota_stays_within_rate_and_burst(self):
        permits, wanted, most = numbers(quota.main())
        self.assertLess(most, wanted)
        self.assertGreater(permits, 0)
        self.assertLessEqual(permits, most)

    def test_membership_finds_the_dead(self):
        self.assertEqual("live/live > dead/dead", membership.main())

    def test_ownership_passes_on_after_the_silence(self):
        told = ownership.main()
        first, second = re.match(r"(\S+) > (\S+),", told).groups()
        self.assertNotEqual(first, second)
        self.assertIn("most owners at once 1, silence kept: True", told)

    def test_dedup_runs_a_request_once(self):
        told = dedup.main()
        self.assertTrue(told.startswith("ballot 1; ballot 1; another request"), told)
        self.assertTrue(told.endswith("id not issued here; runs: 1"), told)

    def test_distribution_moves_changed_sections(self):
        told = distribution.main()
        self.assertTrue(told.startswith("3 readers, 175 nodes"), told)
        self.assertTrue(told.endswith("sections: bundle, teams"), told)

    def test_slo_shows_a_short_burn_in_the_short_window(self):
        self.assertTrue(slo.main().startswith("300 s 10.0%, 1800 s 1.7%"))
