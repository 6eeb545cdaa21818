"""Chain of services in one process: real entries and dispatchers, fake hosts."""

import asyncio

import orjson
from numpy.random import default_rng

from damaskramp.admission import EarlyRefusal
from damaskramp.balancing import RoundRobin
from damaskramp.bundle import (
    BundleView,
    SigningKey,
    parse_bundle_source,
    sign_bundle,
)
from damaskramp.config import (
    AdmissionSettings,
    NodeSettings,
    QuarantineSettings,
    RetrySettings,
)
from damaskramp.core import (
    HostId,
    Incarnation,
    Outcome,
    Reason,
    Section,
    ServiceName,
    VirtualTimers,
    ZoneName,
)
from damaskramp.dedup import RequestIdIssuer
from damaskramp.http import HttpRequest
from damaskramp.membership import LocalBroadcast, Member, MemberTable
from damaskramp.node.calls import Reply
from damaskramp.node.contexts import ContextTable
from damaskramp.node.dispatch import Dispatcher
from damaskramp.node.entry import Entry
from damaskramp.node.objectives import ObjectiveMonitor
from damaskramp.node.retrying import RetryAllowances
from damaskramp.node.telemetry import Telemetry
from damaskramp.quarantine import Quarantine
from damaskramp.quota import StaticSplit
from damaskramp.retries import Backoff, HintSpreader

BUNDLE_TEMPLATE = """
[bundle]
version = 1
issued = 2026-01-01T00:00:00Z
zones = ["z1"]
classes = ["reading"]
retries = {retries}
retry_ratio = {ratio}
"""
HOP_TEMPLATE = """
[[services]]
name = "s{0}"
slots = 8
connections = 100
backend_servers = 3

[[routes]]
service = "s{0}"
prefix = "/s{0}/"
priority = "reading"
idempotent = true
open = true
timeout_seconds = 1000.0
"""
SETTINGS = NodeSettings.model_validate(
    {
        "node": {"host": "h", "zone": "z1"},
        "listen": {
            "http": "127.0.0.1:1",
            "peer": "127.0.0.1:2",
            "admin": "127.0.0.1:3",
        },
        "platform": {"address": "127.0.0.1:4"},
        "trust": {"public_keys": ["00" * 32]},
    }
)
HOSTS_PER_HOP = 3
BACKEND_LOST = "the node answered that its backend server did not"
FAULTS = (
    Reply.not_run(Reason.OVERLOADED, 0.2),
    Reply.not_run(Reason.STOPPING),
    Reply.not_run(Reason.CONNECT_FAILED),
    Reply.unknown(Reason.ANSWER_LOST),
    Reply.unknown(Reason.ANSWER_LOST, BACKEND_LOST),
    Reply(Outcome.ANSWER, status=500),
)


class Chain:
    """Services ``s0`` to ``sN``; each backend server calls the next service.

    A backend server repeats a failed call at once, up to `eager` times.
    """

    def __init__(self, hops, seed, faults, eager, retries=2, ratio=0.1):
        self.attempts = 0
        self.messages = 0
        self.timers = VirtualTimers()
        self._hops = hops
        self._faults = faults
        self._caller_retries = eager
        self._random = default_rng(seed)
        source = BUNDLE_TEMPLATE.format(retries=retries, ratio=ratio)
        source += "".join(HOP_TEMPLATE.format(hop) for hop in range(hops))
        bundle = parse_bundle_source(source, "bundle.toml").ok
        signed = sign_bundle(bundle, SigningKey(bytes(32)))
        self._bundle = Section("bundle", BundleView(signed))
        zone = ZoneName("z1")
        members = MemberTable(
            Member(HostId(f"h{hop}-{n}"), zone, "x:1", ServiceName(f"s{hop}"))
            for hop in range(hops)
            for n in range(HOSTS_PER_HOP)
        )
        self._members = Section("members", members)
        self._contexts = [ContextTable(self.timers) for _ in range(hops + 1)]
        # Entry k serves the calls made by hop k - 1; entry 0 serves outside requests.
        self.entries = [self._entry(table) for table in self._contexts]

    def _entry(self, contexts):
        telemetry = Telemetry(Section("classes", ()))
        bounds = RetrySettings()
        backoff = Backoff(bounds, self._random)
        quarantine = Quarantine(
            QuarantineSettings(),
            self.timers,
            HostId("h"),
            ZoneName("z1"),
            LocalBroadcast(),
        )
        dispatcher = Dispatcher(
            HostId("h"),
            self.timers,
            bounds,
            backoff,
            self._members,
            RoundRobin(ZoneName("z1")),
            None,
            self,
            quarantine,
            telemetry.event,
        )
        allowances = RetryAllowances(
            bounds, self.timers, HintSpreader(bounds, self._random), telemetry.event
        )
        return Entry(
            SETTINGS,
            self.timers,
            self._bundle,
            contexts,
            StaticSplit(self.timers, ZoneName("z1")),
            dispatcher,
            EarlyRefusal(AdmissionSettings(), self.timers, default_rng(0)),
            allowances,
            telemetry,
            None,
            RequestIdIssuer(
                self.timers, ZoneName("z1"), HostId("h"), Incarnation(1), b"secret"
            ),
            ObjectiveMonitor(self.timers, self._bundle),
        )

    async def send(self, count, headers=()):
        """Send outside requests one after another and return their statuses."""
        statuses = []
        for number in range(count):
            request = HttpRequest("GET", f"/s0/{number}", headers)
            answer = await self.entries[0].handle(request)
            statuses.append(answer.status)
        return statuses

    async def drive(self, work):
        """Run `work` while virtual time advances."""
        task = asyncio.ensure_future(work)
        while not task.done():
            await asyncio.sleep(0)
            self.timers.advance(0.001)
        return task.result()

    async def execute(self, member, call):
        """Run a call on a fake host, as a stand-in for `PeerClient`."""
        hop = int(call.context.service[1:])
        self.messages += 1
        fault_share, fault = self._faults.get(hop, (0.0, None))
        fails = self._random.random() < fault_share
        if fails and fault.outcome is Outcome.NOT_RUN:
            return fault.with_retries(call.context.retries_left)
        if hop == self._hops - 1:
            self.attempts += 1
        contexts = self._contexts[hop + 1]
        token, running = contexts.issue(call.context)
        try:
            status = await self._backend_server(hop, token)
        finally:
            contexts.end(token)
        if fails:
            node_lost = fault.outcome is Outcome.UNKNOWN and not fault.detail
            left = 0 if node_lost else running.retries_left
            return fault.with_retries(left)
        body = orjson.dumps({"hop": hop})
        reply = Reply(Outcome.ANSWER, status=status, body=body)
        return reply.with_retries(running.retries_left)

    async def _backend_server(self, hop, token):
        if hop == self._hops - 1:
            return 200
        headers = ((b"damaskramp-context", token.encode()),)
        request = HttpRequest("GET", f"/s{hop + 1}/x", headers)
        for _ in range(self._caller_retries + 1):
            answer = await self.entries[hop + 1].handle(request)
            if answer.status < 500:
                return 200
        return 502
