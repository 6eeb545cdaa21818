"""Tests that claims are never removed early, and that claims and answers are bounded.

A claim removed early would let its request run a second time.
"""

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from damaskramp.core import VirtualTimers
from damaskramp.dedup import ClaimState, ClaimTable, ExecutionLedger
from damaskramp.testing import LoopTestCase

RETENTION = 10.0
MAX_CLAIMS = 6
MAX_ANSWER_BYTES = 100
KEYS = st.binary(min_size=1, max_size=1)


class ClaimMachine(RuleBasedStateMachine):
    """Compares the table with a model that removes no claim by itself."""

    def __init__(self) -> None:
        super().__init__()
        self.timers = VirtualTimers()
        self.table: ClaimTable[bytes] = ClaimTable(
            self.timers, lambda: RETENTION, MAX_CLAIMS, MAX_ANSWER_BYTES
        )
        self.running: dict[bytes, float] = {}
        self.settled: dict[bytes, float] = {}

    @precondition(lambda self: not self.table.full)
    @rule(key=KEYS)
    def claim(self, key: bytes) -> None:
        if self.table.get(key) is None:
            self.table.claim(key, key)
            self.running[key] = self.timers.now

    @precondition(lambda self: self.running)
    @rule(size=st.integers(0, 150), answered=st.booleans())
    def settle(self, size: int, answered: bool) -> None:
        key = next(iter(self.running))
        del self.running[key]
        state = ClaimState.ANSWERED if answered else ClaimState.UNKNOWN
        self.table.settle(key, state, b"" if answered else None, size)
        self.settled[key] = self.timers.now

    @precondition(lambda self: self.running)
    @rule()
    def withdraw(self) -> None:
        key = next(iter(self.running))
        del self.running[key]
        self.table.withdraw(key)

    @rule(seconds=st.floats(0.1, 8.0))
    def advance(self, seconds: float) -> None:
        self.timers.advance(seconds)
        kept = self.timers.now - RETENTION
        gone = [k for k, at in self.settled.items() if self.table.get(k) is None]
        for key in gone:
            assert self.settled.pop(key) <= kept
            assert self.table.forgotten_until >= 0

    @invariant()
    def bounded(self) -> None:
        assert len(self.table) <= MAX_CLAIMS
        assert self.table.answer_bytes <= MAX_ANSWER_BYTES

    @invariant()
    def remembers(self) -> None:
        for key in [*self.running, *self.settled]:
            assert self.table.get(key) is not None

    @invariant()
    def forgets_in_time(self) -> None:
        for at in self.settled.values():
            assert self.timers.now - at < RETENTION + 2.0


TestClaimMachine = ClaimMachine.TestCase
TestClaimMachine.settings = settings(derandomize=True, deadline=None, max_examples=60)


class ClaimTableTests(LoopTestCase):
    def test_longer_retention_applies_to_settled_claims(self):
        timers = VirtualTimers()
        retention = [10.0]
        table: ClaimTable[bytes] = ClaimTable(timers, lambda: retention[0], 4, 10)
        table.claim(b"a", b"")
        table.settle(b"a", ClaimState.ANSWERED)
        timers.advance(9.0)
        retention[0] = 20.0
        timers.advance(9.0)
        self.assertIsNotNone(table.get(b"a"))
        timers.advance(4.0)
        self.assertIsNone(table.get(b"a"))
        self.assertEqual(0.0, table.forgotten_until)

    def test_oldest_answers_are_evicted_and_their_claims_stay(self):
        timers = VirtualTimers()
        table: ClaimTable[bytes] = ClaimTable(timers, lambda: 10.0, 4, 10)
        for key in (b"a", b"b", b"c"):
            table.claim(key, b"")
            table.settle(key, ClaimState.ANSWERED, key, 5)
        self.assertIsNone(table.answer(b"a"))
        self.assertEqual(b"c", table.answer(b"c"))
        self.assertEqual(ClaimState.ANSWERED, table.get(b"a").state)

    def test_claims_are_refused_and_not_evicted_when_full(self):
        table: ClaimTable[bytes] = ClaimTable(VirtualTimers(), lambda: 10.0, 1, 10)
        table.claim(b"a", b"")
        self.assertRaises(ValueError, table.claim, b"b", b"")
        self.assertRaises(ValueError, table.claim, b"a", b"")

    def test_ledger_forgets_only_what_did_not_run(self):
        timers = VirtualTimers()
        ledger = ExecutionLedger(timers, lambda: 10.0, 4)
        for key, ran in ((b"a", True), (b"b", False)):
            ledger.record(key)
            self.assertTrue(ledger.released(key))
            ledger.end(key, ran)
            self.assertEqual(ran, ledger.released(key))
        timers.advance(12.0)
        self.assertEqual(0, len(ledger))
