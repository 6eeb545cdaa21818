"""Encoding of quota messages in single precision.

The tests guard against permits that rounding creates: grants may only be rounded
down, and the permits that a holder still has only up.
"""

from hypothesis import given, settings
from hypothesis import strategies as st

from damaskramp.node.quota_codec import (
    decode_answer,
    decode_ask,
    decode_handover,
    encode_answer,
    encode_ask,
    encode_handover,
)
from damaskramp.quota import (
    Answer,
    Ask,
    Grant,
    HandedLease,
    Handover,
    Holding,
    TeamAnswer,
    TeamAsk,
)
from damaskramp.testing import LoopTestCase

AMOUNTS = st.floats(0.0, 1e6)
ORDER = (7, "0123456789abcdef")


class TestQuotaCodec(LoopTestCase):
    @settings(derandomize=True, deadline=None)
    @given(AMOUNTS, AMOUNTS, AMOUNTS, st.sampled_from(["z1", "z2"]))
    def test_answer(self, amount, rate, capacity, source):
        grant = Grant(9, amount, rate, capacity, 1.5, source)
        teams = (TeamAnswer("t", (grant,), 0.25, True),)
        answer = Answer("h", 5, "z1", 6, 8, ORDER, teams)
        read = decode_answer(encode_answer(answer))
        got = read.teams[0].grants[0]
        self.assertEqual((answer.host, ORDER, 8), (read.host, read.order, read.number))
        self.assertEqual((9, 1.5, source), (got.lease, got.seconds, got.source))
        self.assertLessEqual(got.amount, amount)
        self.assertLessEqual(got.rate, rate)
        self.assertLessEqual(got.capacity, capacity)

    @settings(derandomize=True, deadline=None)
    @given(AMOUNTS, st.booleans())
    def test_ask(self, level, between_zones):
        holding = Holding(9, level, 1.0, 2.0, "z2")
        ask = Ask("h", 5, "z1", 6, ORDER, (TeamAsk("t", 1.0, 2.0, (holding,)),))
        read = decode_ask(encode_ask(ask))
        self.assertGreaterEqual(read.teams[0].holdings[0].level, level)
        self.assertEqual("z2", read.teams[0].holdings[0].source)
        self.assertEqual((ask.host, ORDER, 6), (read.host, read.order, read.number))

    @settings(derandomize=True, deadline=None)
    @given(AMOUNTS, st.floats(0.0, 30.0))
    def test_handover(self, level, seconds):
        lease = HandedLease("h", 5, 9, level, level, seconds)
        sent = Handover("x", 1, 2, "t", ORDER, level, level, level, (lease,))
        read = decode_handover(encode_handover(sent))
        self.assertLessEqual(read.level, level)
        self.assertGreaterEqual(read.leases[0].capacity, level)
        self.assertGreaterEqual(read.leases[0].seconds, seconds)
