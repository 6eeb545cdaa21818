"""Number of attempts at the deepest service of a chain whose callers retry.

The callers repeat a failed call at once, many times. The tests guard against retry
amplification: retries at every hop would multiply the load on a failing service.
"""

from hypothesis import given, settings
from hypothesis import strategies as st

from damaskramp.core import Outcome, Reason
from damaskramp.http import HttpRequest
from damaskramp.node.calls import Reply
from damaskramp.node.tests.chain import FAULTS, Chain
from damaskramp.testing import LoopTestCase

HOPS = 29
CALLER_RETRIES = 10
TARGET = 1.1
REQUESTS = 40
SHED = FAULTS[0]
LOST = FAULTS[3]
BACKEND_LOST = FAULTS[4]
BROKEN = FAULTS[5]


class TestRetryChain(LoopTestCase):
    def run_chain(self, faults, requests=REQUESTS, eager=CALLER_RETRIES, **more):
        chain = Chain(HOPS, 7, faults, eager, **more)
        self.statuses = self.run_loop(chain.drive(chain.send(requests)))
        return chain

    def test_broken_deepest_service(self):
        chain = self.run_chain({HOPS - 1: (1.0, BROKEN)}, retries=10)
        self.assertLessEqual(chain.attempts, TARGET * REQUESTS)

    def test_lost_answers_of_the_deepest_service(self):
        chain = self.run_chain({HOPS - 1: (1.0, BACKEND_LOST)}, retries=10)
        self.assertLessEqual(chain.attempts, TARGET * REQUESTS)

    def test_lost_answers_at_every_hop(self):
        faults = dict.fromkeys(range(HOPS), (0.3, LOST))
        chain = self.run_chain(faults, retries=10)
        self.assertLessEqual(chain.attempts, TARGET * REQUESTS)

    @settings(derandomize=True, deadline=None, max_examples=25)
    @given(
        st.dictionaries(
            st.integers(0, HOPS - 1),
            st.tuples(st.floats(0.0, 1.0), st.sampled_from(FAULTS)),
            max_size=HOPS,
        ),
        st.integers(0, 10),
        st.integers(0, 10),
    )
    def test_any_failures(self, faults, retries, eager):
        chain = self.run_chain(faults, requests=20, eager=eager, retries=retries)
        self.assertLessEqual(chain.attempts, TARGET * 20)

    def test_budget_is_used_where_there_is_one(self):
        faults = {HOPS - 1: (0.5, SHED)}
        chain = self.run_chain(faults, ratio=1.0, eager=0)
        self.assertGreater(self.statuses.count(200), 0.7 * REQUESTS)
        self.assertLessEqual(chain.attempts, 2 * REQUESTS)

    def test_redirects_do_not_multiply_over_hops(self):
        stopping = Reply.not_run(Reason.STOPPING)
        faults = dict.fromkeys(range(HOPS), (0.5, stopping))
        chain = self.run_chain(faults, requests=10, eager=0, retries=0)
        # Each of the three hosts of a hop is asked at most once.
        self.assertLessEqual(chain.messages, 10 * HOPS * 3)

    def test_callers_repeats_of_a_stated_id_draw_on_the_same_budget(self):
        chain = Chain(HOPS, 7, {HOPS - 1: (1.0, BROKEN)}, 0)

        async def repeat():
            handle = chain.entries[0].handle
            first = await handle(self.request(()))
            request_id = first.value(b"damaskramp-request-id")
            header = ((b"idempotency-key", request_id),)
            return first, await handle(self.request(header))

        first, second = self.run_loop(chain.drive(repeat()))
        self.assertEqual(500, first.status // 100 * 100)
        self.assertEqual(b"retries_exhausted", second.value(b"damaskramp-reason"))
        # The first attempt has run, so the refusal must not report that it has not.
        self.assertEqual(b"unknown", second.value(b"damaskramp-outcome"))
        self.assertEqual(1, chain.attempts)

    def request(self, headers):
        return HttpRequest("GET", "/s0/x", headers)

    def test_attempt_that_may_have_run_is_not_told_as_not_run(self):
        class LostThenShed(Chain):
            async def execute(self, member, call):
                self.messages += 1
                if self.messages == 1:
                    return LOST.with_retries(call.context.retries_left)
                return SHED.with_retries(call.context.retries_left)

        chain = LostThenShed(1, 7, {}, 0, ratio=1.0, retries=1)
        request = self.request(())
        answer = self.run_loop(chain.drive(chain.entries[0].handle(request)))
        self.assertEqual(2, chain.messages)
        self.assertEqual(
            Outcome.UNKNOWN.value.encode(), answer.value(b"damaskramp-outcome")
        )
