"""Accounts with shares: guarantees, caps, and the order of shedding."""

from enum import Enum

import testtools

from damaskramp.core import MemoryAccount, MemoryHolder, worst_holders


class _Kind(Enum):
    BODY = "body"
    HEAD = "head"


class _Holder(MemoryHolder):
    def __init__(self, held, progressed_at):
        self._held = held
        self._progressed_at = progressed_at

    def held(self, kind):
        return self._held if kind is _Kind.BODY else 0

    @property
    def progressed_at(self):
        return self._progressed_at

    def shed(self, kind):
        raise AssertionError("the choice alone must close nothing")


class TestMemoryShare(testtools.TestCase):
    def test_no_share_uses_what_is_guaranteed_to_another(self):
        """A group of misbehaving clients must not take the part of others."""
        account = MemoryAccount(100)
        large = account.share("large", 0, 100)
        small = account.share("small", 40, 60)
        self.assertTrue(large.reserve(60))
        self.assertFalse(large.reserve(1))
        self.assertTrue(small.reserve(40))
        self.assertFalse(small.reserve(1))

    def test_unused_rest_is_common(self):
        account = MemoryAccount(100)
        large = account.share("large", 0, 100)
        small = account.share("small", 40, 60)
        self.assertTrue(small.reserve(60))
        self.assertTrue(large.reserve(40))
        small.release(60)
        self.assertTrue(large.reserve(20))
        self.assertFalse(large.reserve(1))

    def test_everything_is_free_again_after_any_order_of_releases(self):
        """A wrong sum would shrink the account for as long as the process lives."""
        account = MemoryAccount(100)
        shares = [account.share(name, 10, 90) for name in ("a", "b", "c")]
        for first, second in ((0, 1), (1, 2), (2, 0)):
            self.assertTrue(shares[first].reserve(50))
            shares[second].reserve_unchecked(70)
            self.assertFalse(shares[first].reserve(30))
            shares[first].release(50)
            shares[second].release(70)
        self.assertEqual(0, account.used)
        self.assertTrue(shares[0].reserve(80))
        self.assertFalse(shares[1].reserve(11))

    def test_one_reservation_of_any_size_is_granted_alone(self):
        account = MemoryAccount(100)
        share = account.share("bodies", 0, 50)
        self.assertTrue(share.reserve_alone(500))
        self.assertFalse(share.reserve_alone(1))
        self.assertTrue(share.exhausted)
        share.release(500)
        self.assertFalse(share.exhausted)
        self.assertEqual(0, share.used)

    def test_one_large_body_in_the_account_is_held_beyond_small_ones(self):
        """A body of the legal size is served while small ones come and go."""
        size = 8 * 1024 * 1024
        account = MemoryAccount(size)
        shares = [account.share(name, 1000, size) for name in ("a", "b")]
        self.assertTrue(shares[0].reserve(2000))
        self.assertTrue(shares[0].reserve_alone(size))
        self.assertFalse(shares[1].reserve_alone(size))
        self.assertTrue(shares[1].reserve(1000))
        self.assertFalse(shares[1].reserve(1))
        shares[0].release(size)
        self.assertEqual(2000, shares[0].used)
        self.assertTrue(shares[1].reserve_alone(size))

    def test_sum_is_right_whichever_body_is_released_first(self):
        size = 10 * 1024 * 1024
        account = MemoryAccount(size)
        share = account.share("a", 1000, size)
        self.assertTrue(share.reserve(size))
        self.assertTrue(share.reserve_alone(size // 2))
        share.release(size)
        share.release(size // 2)
        self.assertEqual(0, account.used)
        self.assertTrue(share.reserve(size))
        self.assertFalse(share.reserve(1))
        # The bound of the share itself hides a sum of the account that is too small.
        self.assertFalse(account.share("b", 0, size).reserve(1))

    def test_guarantees_beyond_the_limit_are_refused(self):
        account = MemoryAccount(100)
        account.share("a", 80, 80)
        self.assertRaises(ValueError, account.share, "b", 21, 30)


class TestShedding(testtools.TestCase):
    def test_those_who_hold_most_and_progress_least_come_first(self):
        stalled = _Holder(1000, 0.0)
        small = _Holder(10, 0.0)
        recent = _Holder(1000, 9.0)
        holders = [small, recent, stalled]
        for needed, expected in ((900, [stalled]), (1100, [stalled, recent])):
            chosen = worst_holders(holders, _Kind.BODY, 10.0, 0.5, needed)
            self.assertEqual([(one, 1000) for one in expected], chosen)
        self.assertEqual([], worst_holders(holders, _Kind.HEAD, 10.0, 0.5, 900))

    def test_holders_that_progress_are_never_chosen(self):
        """A well-behaved upload must not be broken off for a newcomer."""
        holders = [_Holder(1000, 9.9), _Holder(0, 0.0)]
        chosen = worst_holders(holders, _Kind.BODY, 10.0, 0.5, 10_000)
        self.assertEqual([], chosen)
