from hypothesis import given, settings
from hypothesis import strategies as st

from damaskramp.admission import AdmissionRequest, Waiter, WaitQueue, rank_of
from damaskramp.core import RequestId, TeamId
from damaskramp.testing import LoopTestCase


def make_waiter(team="a", priority=0, depth=0, name="r", rank=None):
    request = AdmissionRequest(RequestId(name), TeamId(team), priority, depth, 10.0)
    if rank is None:
        rank = rank_of(priority, request.team, request.request_id)
    return Waiter(request, rank, 0.0, lambda refusal: None)


def drain(queue):
    return [queue.pop().request for _ in range(len(queue))]


class TestWaitQueue(LoopTestCase):
    def test_order_is_by_class_then_by_work_already_spent(self):
        """Guards against a nested call that queues behind new calls of its class."""
        queue = WaitQueue({})
        queue.push(make_waiter(priority=1, depth=9))
        queue.push(make_waiter(priority=0, depth=0))
        queue.push(make_waiter(priority=0, depth=2))
        order = [(request.priority, request.depth) for request in drain(queue)]
        self.assertEqual([(0, 2), (0, 0), (1, 9)], order)

    def test_teams_share_by_weight(self):
        queue = WaitQueue({TeamId("a"): 3.0, TeamId("b"): 1.0})
        for number in range(200):
            queue.push(make_waiter("a", name=f"a{number}"))
            queue.push(make_waiter("b", name=f"b{number}"))
        first = [queue.pop().request.team for _ in range(100)]
        self.assertAlmostEqual(75, first.count("a"), delta=2)

    def test_idle_team_accumulates_no_credit(self):
        """Guards against an idle team whose saved credit starves a busy team."""
        queue = WaitQueue({})
        for number in range(100):
            queue.push(make_waiter("busy", name=f"{number}"))
            queue.pop()
        for number in range(20):
            queue.push(make_waiter("busy", name=f"x{number}"))
            queue.push(make_waiter("idle", name=f"y{number}"))
        first = [queue.pop().request.team for _ in range(20)]
        self.assertAlmostEqual(10, first.count("idle"), delta=1)

    def test_team_with_the_longest_backlog_is_shed_first(self):
        queue = WaitQueue({})
        queue.push(make_waiter("modest", name="m"))
        for number in range(5):
            queue.push(make_waiter("greedy", name=f"{number}"))
        self.assertEqual("greedy", queue.least_urgent().request.team)
        queue.push(make_waiter("modest", priority=1))
        self.assertEqual(1, queue.least_urgent().request.priority)

    @settings(derandomize=True, deadline=None)
    @given(
        st.lists(
            st.tuples(st.sampled_from("abc"), st.integers(0, 2), st.integers(0, 1)),
            max_size=40,
        ),
        st.data(),
    )
    def test_every_call_leaves_once_and_in_class_order(self, calls, data):
        """Guards against lost or repeated calls, for any pushes and removals."""
        queue = WaitQueue({TeamId("a"): 2.0})
        waiters = []
        for number, (team, priority, depth) in enumerate(calls):
            waiters.append(make_waiter(team, priority, depth, str(number)))
            queue.push(waiters[-1])
        for item in data.draw(st.sets(st.sampled_from(waiters))) if waiters else ():
            queue.remove(item)
        left = sum(item.waiting for item in waiters)
        order = [request.priority for request in drain(queue)]
        self.assertEqual(left, len(order))
        self.assertEqual(sorted(order), order)
        self.assertEqual(0, len(queue))
