"""Each embedding example runs and demonstrates the guarantee of its component."""

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
        summary = balancing.main()
        self.assertIn("ejected: desk-2;", summary)
        equal_share = balancing.CALLS / 3
        self.assertLess(numbers(summary.partition(";")[2])[0], equal_share / 2)

    def test_retries_stay_within_their_ratio(self):
        requests, attempts = numbers(retries.main())
        self.assertGreater(attempts, requests)
        self.assertLessEqual(attempts, requests * (1 + retries.RATIO))

    def test_second_death_quarantines_at_a_third_host(self):
        statuses = "clear > suspect > quarantined > clear"
        self.assertEqual(statuses, quarantine.main())

    def test_quota_stays_within_rate_and_burst(self):
        permits, wanted, max_permits = numbers(quota.main())
        self.assertLess(max_permits, wanted)
        self.assertGreater(permits, 0)
        self.assertLessEqual(permits, max_permits)

    def test_membership_detects_a_stopped_node(self):
        self.assertEqual("live/live > dead/dead", membership.main())

    def test_ownership_moves_after_the_silence(self):
        summary = ownership.main()
        first, second = re.match(r"(\S+) > (\S+),", summary).groups()
        self.assertNotEqual(first, second)
        self.assertIn("most owners at once 1, silence kept: True", summary)

    def test_dedup_runs_a_request_once(self):
        summary = dedup.main()
        self.assertTrue(
            summary.startswith("ballot 1; ballot 1; another request"), summary
        )
        self.assertTrue(summary.endswith("id not issued here; runs: 1"), summary)

    def test_distribution_moves_changed_sections(self):
        summary = distribution.main()
        self.assertTrue(summary.startswith("3 readers, 175 nodes"), summary)
        self.assertTrue(summary.endswith("sections: bundle, teams"), summary)

    def test_slo_short_window_shows_a_short_error_burst(self):
        self.assertTrue(slo.main().startswith("300 s 10.0%, 1800 s 1.7%"))
