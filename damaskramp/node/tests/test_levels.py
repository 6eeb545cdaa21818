"""Shed levels and the time of nested calls as they pass through the node.

The tests guard against a shed level that is lost on its way up the call chain, and
against nested calls that are counted as load of this host. They use no sockets.
"""

import asyncio

import numpy as np
from expression import Ok

from damaskramp.admission import (
    AdmissionController,
    EarlyRefusal,
    Load,
    Permit,
    rank_of,
)
from damaskramp.config import AdmissionSettings, NodeSettings, RetrySettings
from damaskramp.core import (
    BundleVersion,
    HostId,
    KeyDigest,
    Outcome,
    Reason,
    RequestId,
    Section,
    ServiceName,
    TeamId,
    VirtualTimers,
    ZoneName,
)
from damaskramp.http import HttpRequest, HttpResponse
from damaskramp.node.callers import Caller
from damaskramp.node.calls import Call, CallContext, Reply
from damaskramp.node.contexts import ContextTable, RunningContext
from damaskramp.node.entry import Entry, _Arrival
from damaskramp.node.execution import Executor
from damaskramp.node.identities import Identity
from damaskramp.node.levels import LevelRecordingPeers
from damaskramp.node.lifecycle import Lifecycle
from damaskramp.node.retrying import RetryAllowances
from damaskramp.node.telemetry import Telemetry
from damaskramp.testing import LoopTestCase

CONTEXT = CallContext(
    request_id=RequestId("r-1"),
    team=TeamId("clubs"),
    key_digest=KeyDigest(""),
    service=ServiceName("board"),
    route="/board",
    priority=1,
    idempotent=True,
    deadline=10.0,
    retries_left=2,
    depth=0,
    bundle_version=BundleVersion(1),
    entry_host=HostId("h0"),
    entry_zone=ZoneName("z"),
)
CALL = Call(CONTEXT, HttpRequest("GET", "/board", (), b""))
RANK = rank_of(1, CONTEXT.team, CONTEXT.request_id)

SETTINGS = NodeSettings.model_validate(
    {
        "node": {"host": "h0", "zone": "z"},
        "listen": dict.fromkeys(("http", "peer", "admin"), "127.0.0.1:1"),
        "platform": {"address": "127.0.0.1:1"},
        "trust": {"public_keys": ["0" * 64]},
    }
)


def run_nested(entry, parent):
    caller = Caller(CONTEXT.team, CONTEXT.key_digest, parent)
    arrival = _Arrival(CALL.request, None, None, caller, 0.0)
    identity = Identity(CONTEXT.request_id, "", stated=False, first_attempt=True)
    return entry._run_nested(arrival, identity, CALL)


class FakePermit(Permit):
    def __init__(self):
        self.parked = 0
        self.samples = []

    def park(self):
        self.parked += 1

    def resume(self):
        self.parked -= 1

    def release(self, sample):
        self.samples.append(sample)


class FakeReleases:
    def begin(self, context):
        return None

    def end(self, context, ran):
        pass


class FakeAdmission(AdmissionController):
    def __init__(self):
        self.permit = FakePermit()

    @property
    def load(self):
        return Load(shed_level=2.5)

    async def admit(self, request):
        return Ok(self.permit)


class FakeBackend:
    """Backend server that answers after 3 s, 2 s of them in a nested call."""

    def __init__(self, timers, contexts, status, level):
        self.timers = timers
        self.contexts = contexts
        self.status = status
        self.level = level

    async def request(self, request, seconds):
        running = self.contexts.find(request.value(b"damaskramp-context").decode())
        self.timers.advance(1.0)
        running.begin_nested()
        self.timers.advance(2.0)
        running.end_nested(self.status == 200, self.level)
        return Ok(HttpResponse(self.status, (), b""))


class FakeContainment:
    async def run(self, call, work):
        return await work(call)

    async def release(self, call, work):
        return await work


class FakePeers:
    def __init__(self, reply):
        self.reply = reply
        self.calls = 0

    async def execute(self, member, call):
        self.calls += 1
        return self.reply


class FakeMember:
    host = HostId("h1")


class SinglePeerDispatcher:
    def __init__(self, peers):
        self.peers = peers

    async def dispatch(self, call):
        return await self.peers.execute(FakeMember(), call)


def early_refusal(timers):
    early = EarlyRefusal(AdmissionSettings(), timers, np.random.default_rng(1))
    early.configure(3)
    return early


class TestLevels(LoopTestCase):
    def setUp(self):
        super().setUp()
        self.timers = VirtualTimers()

    def execute(self, status, level):
        contexts = ContextTable(self.timers)
        admission = FakeAdmission()
        bundle = Section("bundle", None)
        classes = Section("classes", ())
        backend = FakeBackend(self.timers, contexts, status, level)
        settings = _Settings()
        executor = Executor(
            settings,
            self.timers,
            bundle,
            Section("lifecycle", Lifecycle.SERVING),
            admission,
            backend,
            contexts,
            FakeContainment(),
            Telemetry(classes),
            FakeReleases(),
        )
        reply = self.run_loop(executor.execute(CALL))
        return reply, admission.permit

    def test_reply_carries_lowest_shed_level_of_chain(self):
        reply, _ = self.execute(200, 0.7)
        self.assertEqual(0.7, reply.load.shed_level)
        reply, _ = self.execute(200, float("inf"))
        self.assertEqual(2.5, reply.load.shed_level)

    def test_sample_separates_time_of_nested_calls(self):
        _, permit = self.execute(200, float("inf"))
        sample = permit.samples[0]
        self.assertAlmostEqual(3.0, sample.seconds)
        self.assertAlmostEqual(1.0, sample.own_seconds)
        self.assertEqual(0, permit.parked)

    def test_nested_failure_is_not_counted_as_overload(self):
        _, permit = self.execute(503, float("inf"))
        self.assertFalse(permit.samples[0].overloaded)

    def test_overlapping_nested_calls_count_once(self):
        permit = FakePermit()
        running = RunningContext(CONTEXT, permit, self.timers)
        running.begin_nested()
        self.timers.advance(1.0)
        running.begin_nested()
        self.timers.advance(1.0)
        running.end_nested(True, 1.5)
        self.assertEqual(1, permit.parked)
        self.timers.advance(1.0)
        running.end_nested(True, 2.0)
        self.assertEqual(0, permit.parked)
        self.assertEqual(3.0, running.nested_seconds)
        self.assertEqual(1.5, running.shed_level)
        self.assertFalse(running.nested_failed)

    def entry(self, peers):
        early = early_refusal(self.timers)
        dispatcher = SinglePeerDispatcher(LevelRecordingPeers(peers, early))
        allowances = RetryAllowances(RetrySettings(), self.timers, None, None)
        unused = [None] * 3
        entry = Entry(
            SETTINGS,
            self.timers,
            *unused,
            dispatcher,
            early,
            allowances,
            telemetry=None,
            homes=None,
            id_issuer=None,
            objectives=None,
        )
        return entry, early

    def test_nested_call_above_the_level_is_refused_without_a_message(self):
        peers = FakePeers(Reply(Outcome.ANSWER, load=Load(shed_level=RANK - 0.01)))
        entry, _ = self.entry(peers)
        parent = RunningContext(CONTEXT, FakePermit(), self.timers)

        async def scenario():
            first = await run_nested(entry, parent)
            self.timers.advance(0.5)
            return first, await run_nested(entry, parent)

        first, second = self.run_loop(scenario())
        self.assertIs(Outcome.ANSWER, first.outcome)
        self.assertIs(Outcome.NOT_RUN, second.outcome)
        self.assertIs(Reason.OVERLOADED, second.reason)
        self.assertEqual(1, peers.calls)
        self.assertEqual(RANK - 0.01, parent.shed_level)
        self.assertEqual(second.retries_left, parent.retries_left)

    def test_cancelled_nested_call_resumes_the_permit(self):
        class Hanging:
            async def execute(self, member, call):
                await asyncio.sleep(3600)

        entry, _ = self.entry(Hanging())
        permit = FakePermit()
        parent = RunningContext(CONTEXT, permit, self.timers)

        async def scenario():
            task = asyncio.ensure_future(run_nested(entry, parent))
            await asyncio.sleep(0)
            parked = permit.parked
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            return parked

        self.assertEqual(1, self.run_loop(scenario()))
        self.assertEqual(0, permit.parked)
        self.assertTrue(parent.nested_failed)


class _Backend:
    service = "board"


class _Settings:
    backend = _Backend()
