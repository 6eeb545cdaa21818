"""Tests of the limiter at one node.

They guard against permits spent from expired leases after a freeze, answers that
count twice, and waits that outlast the deadline.
"""

import asyncio
from dataclasses import replace

from damaskramp.core import TeamId
from damaskramp.quota import Grant, LeasedLimiter, QuotaSettings
from damaskramp.quota.leases import LeasePool
from damaskramp.quota.tests.fleet import FakeFleet
from damaskramp.testing import LoopTestCase

TEAM = TeamId("t")


def fleet(rate=20.0, burst=20, **more):
    teams = [{"name": TEAM, "rate": rate, "burst": burst}]
    return FakeFleet({"a": 2}, teams, 1, **more)


class TestLeasedLimiter(LoopTestCase):
    def test_cold_node_waits_for_its_first_grant(self):
        async def run():
            small = fleet()
            await small.run(3.0)
            for host in small.nodes:
                small.request(host, TEAM)
            await small.run(0.2)
            return small.tally[TEAM]

        tally = self.run_loop(run())
        self.assertEqual((2, 0), (len(tally.admitted), len(tally.refused)))

    def test_wait_ends_with_the_deadline(self):
        async def run():
            node = next(iter(fleet().nodes.values()))
            limiter: LeasedLimiter = node.limiter
            task = asyncio.create_task(limiter.acquire(TEAM, node.timers.now + 0.1))
            await asyncio.sleep(0)
            node.fleet.timers.advance(0.11)
            return await task

        self.assertTrue(self.run_loop(run()).is_error())

    def test_request_woken_before_a_freeze_checks_the_level_again(self):
        async def run():
            small = fleet()
            await small.run(3.0)
            node = next(n for n in small.nodes.values() if not n.owner.teams)
            deadline = node.timers.now + 60.0
            task = asyncio.create_task(node.limiter.acquire(TEAM, deadline))
            await asyncio.sleep(0)
            small.timers.advance(0.01)
            small._deliver()
            small.timers.advance(0.01)
            small._deliver()
            self.assertEqual(1, node.limiter._teams[TEAM].woken)
            small.timers.advance(5.0)
            return await task

        self.assertTrue(self.run_loop(run()).is_error())

    def test_hints_are_spread(self):
        async def run():
            node = next(iter(fleet().nodes.values()))
            now = node.timers.now
            taken = [await node.limiter.acquire(TEAM, now) for _ in range(20)]
            return {round(result.error.retry_after, 3) for result in taken}

        self.assertGreater(len(self.run_loop(run())), 10)

    def test_answer_counts_once_and_only_the_last_ask(self):
        async def run():
            small = fleet()
            await small.run(3.0)
            node = next(n for n in small.nodes.values() if not n.owner.teams)
            answers = []
            node.take_answer = answers.append
            small.request(node.host, TEAM)
            await small.run(0.05)
            limiter, answer = node.limiter, answers[0]
            other = replace(answer, to_incarnation=answer.to_incarnation + 1)
            limiter.receive(other)
            limiter.receive(replace(answer, number=answer.number - 1))
            pool = limiter._teams[TEAM].pool
            self.assertEqual(0.0, pool.level(node.timers.now))
            limiter.receive(answer)
            once = pool.level(node.timers.now)
            limiter.receive(answer)
            return once, pool.level(node.timers.now)

        once, twice = self.run_loop(run())
        self.assertGreaterEqual(once, 1.0)
        self.assertEqual(once, twice)


class TestLeasePool(LoopTestCase):
    def test_lease_runs_from_the_ask(self):
        pool = LeasePool()
        pool.accept(11.0, 10.0, Grant(1, 5.0, 0.0, 5.0, 2.0, "a"))
        self.assertTrue(pool.acquire(11.99))
        self.assertFalse(pool.acquire(12.0))

    def test_renewal_keeps_level_within_the_new_capacity(self):
        pool = LeasePool()
        pool.accept(0.0, 0.0, Grant(1, 5.0, 1.0, 5.0, 2.0, "a"))
        pool.accept(1.0, 1.0, Grant(2, 5.0, 1.0, 6.0, 2.0, "a"))
        self.assertEqual(6.0, pool.level(1.0))
        self.assertEqual(1, len(pool.holdings(1.0)))

    def test_permit_is_drawn_in_parts(self):
        pool = LeasePool()
        pool.accept(0.0, 0.0, Grant(1, 0.6, 0.1, 1.0, 2.0, "a"))
        pool.accept(0.0, 0.0, Grant(2, 0.6, 0.1, 1.0, 2.0, "b"))
        self.assertTrue(pool.acquire(0.0))
        self.assertAlmostEqual(0.2, pool.level(0.0))

    def test_settings_allow_for_clock_drift(self):
        self.assertGreater(QuotaSettings().held_seconds(2.0), 2.0)
