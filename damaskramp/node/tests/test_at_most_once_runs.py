"""At-most-once execution under seeded faults, judged by the history of each run.

Each run kills and freezes nodes, partitions the zones, withdraws a key and repeats
requests. The tests guard against a request that runs twice, a false report that it
did not run, and a run with a withdrawn key. ``DAMASKRAMP_RUNS`` sets the number of
runs (see docs/design/at_most_once.md).
"""

import asyncio
import hashlib
import os
import uuid
from collections.abc import Iterator
from contextlib import contextmanager
from unittest import mock

import orjson

from damaskramp.bundle import BundleView
from damaskramp.core import Outcome
from damaskramp.dedup import Claim, ClaimTable
from damaskramp.http import HttpRequest, HttpResponse
from damaskramp.node.entry import Entry
from damaskramp.node.execution import Executor
from damaskramp.node.home import Home
from damaskramp.node.home_copies import ClaimCopies
from damaskramp.node.home_messages import CopyResult
from damaskramp.node.releases import ReleaseGuard
from damaskramp.node.tests.fake_fleet import KEYS, FakeFleet, FakeNode
from damaskramp.testing import LoopTestCase
from damaskramp.testing.history import (
    Completion,
    History,
    Invocation,
    Violation,
    ViolationKind,
    Withdrawal,
    judge,
)

RUNS = int(os.environ.get("DAMASKRAMP_RUNS", "150"))
REQUESTS = 12
RUN_SECONDS = 12.0
REPEAT_SECONDS = 2.0
MAX_FREEZE_SECONDS = 1.5
MEAN_BUNDLE_DELAY_SECONDS = 0.5
WITHDRAWAL_SECONDS = 2 * MEAN_BUNDLE_DELAY_SECONDS + MAX_FREEZE_SECONDS + 0.2
ISSUE = HttpRequest("POST", "/damaskramp/request-id")


class Run:
    """One run, with callers and faults drawn from a seed."""

    def __init__(self, seed: int) -> None:
        self.fleet = FakeFleet(seed)
        self.fleet.over_rate = 0.1
        self.fleet.backend_faults = 0.08
        self.fleet.duplicates = 0.1
        self.history = History()
        self._number = 0

    async def play(self) -> list[Violation]:
        """Run all requests and faults, and return the violations."""
        fleet = self.fleet
        fleet.build()
        start = fleet.between(0.0, 10.0)
        await fleet.advance(start)
        jobs = [self._request() for _ in range(REQUESTS)]
        jobs += [self._kill(), self._freeze("north"), self._freeze("south")]
        jobs += [self._cut(), self._withdraw()]
        tasks = [asyncio.create_task(job) for job in jobs]
        await fleet.advance(RUN_SECONDS)
        for task in tasks:
            if task.done() and task.exception() is not None:
                raise task.exception()
            task.cancel()
        fleet.close()
        self.history.executions += fleet.executions
        return judge(self.history, WITHDRAWAL_SECONDS)

    async def _kill(self) -> None:
        fleet = self.fleet
        await fleet.sleep(fleet.between(0.5, 3.0))
        host = fleet.pick(list(fleet.nodes))
        if fleet.nodes[host].frozen:
            return
        fleet.kill(host)
        await fleet.sleep(fleet.between(0.5, 2.0))
        fleet.restart(host)

    async def _freeze(self, zone: str) -> None:
        fleet = self.fleet
        await fleet.sleep(fleet.between(0.0, 3.0))
        running = [h for h, n in fleet.nodes.items() if n.zone == zone and n.alive]
        await fleet.freeze(
            fleet.pick(running),
            fleet.between(0.1, MAX_FREEZE_SECONDS),
            fleet.chance(0.7),
        )

    async def _cut(self) -> None:
        await self.fleet.sleep(self.fleet.between(0.0, 3.0))
        if self.fleet.chance(0.5):
            self.fleet.cut(self.fleet.between(0.3, 2.0))

    async def _withdraw(self) -> None:
        """Withdraw the key of one team; the nodes get the bundle one by one."""
        fleet = self.fleet
        await fleet.sleep(fleet.between(0.2, 1.5))
        if fleet.chance(0.5):
            return
        self.history.withdrawals.append(Withdrawal("schools", fleet.timers.now))
        digest = hashlib.sha256(KEYS["schools"]).hexdigest()
        fleet.bundle = BundleView(fleet.bundle.signed, frozenset({digest}))
        for node in list(fleet.nodes.values()):
            await fleet.sleep(
                fleet.between(0.0, 2 * MEAN_BUNDLE_DELAY_SECONDS / len(fleet.nodes))
            )
            node.bundle.replace(fleet.bundle)

    async def _request(self) -> None:
        """Send one request and repeat it at several nodes."""
        fleet = self.fleet
        await fleet.sleep(fleet.between(0.0, 4.0))
        team = fleet.pick(list(KEYS))
        id_kind = fleet.pick(["issued", "plain", "uuid7", "zoned", "none"])
        request_id = await self._id(id_kind, team)
        states_first_attempt = fleet.chance(0.5)
        target = fleet.pick(["/book/1", "/book/2"])
        tasks = []
        for attempt in range(1 if id_kind == "none" else int(fleet.between(1, 5))):
            first_attempt = states_first_attempt and attempt == 0
            node = fleet.nodes[fleet.pick(list(fleet.nodes))]
            sending = self._send(node, team, request_id, target, first_attempt)
            tasks.append(asyncio.create_task(sending))
            if fleet.chance(0.6) or first_attempt:
                await fleet.sleep(fleet.between(0.0, REPEAT_SECONDS / 4))
        await asyncio.gather(*tasks)

    async def _id(self, id_kind: str, team: str) -> str:
        fleet = self.fleet
        self._number += 1
        if id_kind == "plain":
            return f"own-{self._number}"
        if id_kind == "zoned":
            return f"drz1~{fleet.pick(['north', 'south'])}~own-{self._number}"
        if id_kind == "uuid7":
            skew = fleet.between(-0.4, 0.4)
            milliseconds = int((fleet.timers.wall_now + skew) * 1000)
            number = (milliseconds << 80) | (7 << 76) | (2 << 62) | self._number
            return str(uuid.UUID(int=number))
        if id_kind == "issued":
            node = fleet.nodes[fleet.pick(list(fleet.nodes))]
            request = HttpRequest(ISSUE.method, ISSUE.target, _key(team))
            answer = await node.entry.handle(request)
            return (answer.value(b"damaskramp-request-id") or b"").decode()
        return ""

    async def _send(
        self,
        node: FakeNode,
        team: str,
        request_id: str,
        target: str,
        first_attempt: bool,
    ) -> None:
        headers = _key(team)
        if request_id:
            headers += ((b"idempotency-key", request_id.encode()),)
        if first_attempt:
            headers += ((b"damaskramp-first-attempt", b"true"),)
        request = HttpRequest("POST", target, headers, b"body")
        attempt = f"a{len(self.history.invocations)}"
        position = len(self.history.invocations)
        sent_at = self.fleet.timers.now
        digest = hashlib.sha256(target.encode() + b"body").hexdigest()
        sent = Invocation(attempt, team, team, request_id, sent_at, digest)
        self.history.invocations.append(sent)
        await node.wait_until_running()
        try:
            answer = await node.spawn(node.entry.handle(request))
        except asyncio.CancelledError:
            return
        named = (answer.value(b"damaskramp-request-id") or b"").decode()
        if not request_id and named:
            self.history.invocations[position] = Invocation(
                attempt, team, team, named, sent_at, digest
            )
        self.history.completions.append(
            _completion(attempt, answer, self.fleet.timers.now)
        )


def _key(team: str) -> tuple[tuple[bytes, bytes], ...]:
    return ((b"authorization", b"Bearer " + KEYS[team]),)


def _completion(attempt: str, answer: HttpResponse, at: float) -> Completion:
    outcome = Outcome(answer.value(b"damaskramp-outcome").decode())
    if outcome is not Outcome.ANSWER:
        return Completion(attempt, outcome, at)
    body = orjson.loads(answer.body)
    return Completion(attempt, outcome, at, body["id"], body["digest"])


class AtMostOnceRuns(LoopTestCase):
    def play(self, seed: int) -> tuple[list[Violation], History]:
        run = Run(seed)
        return self.run_loop(run.play()), run.history

    def test_no_run_violates_the_guarantees(self):
        outcomes: dict[Outcome, int] = dict.fromkeys(Outcome, 0)
        executed = 0
        for seed in range(RUNS):
            violations, history = self.play(seed)
            self.assertEqual([], violations, f"seed {seed}")
            executed += len(history.executions)
            for completion in history.completions:
                outcomes[completion.outcome] += 1
        # The runs are meaningful only if every outcome occurred.
        self.assertGreater(executed, RUNS)
        for outcome, count in outcomes.items():
            self.assertGreater(count, 0, outcome)

    def violation_kinds_with(
        self, patch: object, expected: ViolationKind = ViolationKind.RAN_TWICE
    ) -> set[ViolationKind]:
        """Kinds of violations found while `patch` disables a part of the mechanism."""
        kinds = set()
        with patch:
            for seed in range(RUNS):
                violations, _ = self.play(seed)
                kinds |= {violation.kind for violation in violations}
                if expected in kinds:
                    break
        return kinds

    def test_runs_fail_without_claims(self):
        claim_anyway = mock.patch.object(ClaimTable, "claim", _claim_anyway)
        keep_all = mock.patch.object(ClaimTable, "sweep")
        withdraw = mock.patch.object(ClaimTable, "withdraw")
        with claim_anyway, keep_all, withdraw, _without_release_guard():
            kinds = self.violation_kinds_with(
                mock.patch.object(Home, "_known", return_value=None)
            )
        self.assertIn(ViolationKind.RAN_TWICE, kinds)

    def test_runs_fail_when_homes_ignore_history_coverage(self):
        ignore_coverage = mock.patch(
            "damaskramp.node.home.may_release_own_id", return_value=True
        )
        # Copies alone would stop most repeats, so they are disabled as well.
        no_copies = mock.patch.object(ClaimCopies, "keep", return_value=CopyResult.KEPT)
        with no_copies, _without_release_guard():
            kinds = self.violation_kinds_with(ignore_coverage)
        self.assertIn(ViolationKind.RAN_TWICE, kinds)

    def test_runs_fail_without_the_check_at_release(self):
        accepted = mock.patch.object(BundleView, "team_of", _team_of_withdrawn_key)
        unchecked = mock.patch.object(Executor, "_key_withdrawn", return_value=False)
        with accepted:
            kinds = self.violation_kinds_with(unchecked, ViolationKind.WITHDRAWN_KEY)
        self.assertEqual({ViolationKind.WITHDRAWN_KEY}, kinds)

    def test_runs_fail_when_refusals_skip_the_home(self):
        refuse_unchecked = mock.patch(
            "damaskramp.node.entry.Entry._true_refusal", _refuse_unchecked
        )
        kinds = self.violation_kinds_with(refuse_unchecked, ViolationKind.FALSE_NOT_RUN)
        self.assertEqual({ViolationKind.FALSE_NOT_RUN}, kinds)


def _team_of_withdrawn_key(view: BundleView, digest: str) -> str | None:
    return next((k.team for k in view.contents.keys if k.digest == digest), None)


@contextmanager
def _without_release_guard() -> Iterator[None]:
    with (
        mock.patch.object(ReleaseGuard, "begin", return_value=None),
        mock.patch.object(ReleaseGuard, "end", return_value=None),
    ):
        yield


async def _refuse_unchecked(
    entry: Entry, arrival: object, identity: object, call: object, refusal: object
) -> object:
    return refusal


def _claim_anyway(table: object, key: bytes, fingerprint: bytes) -> None:
    table._claims[key] = Claim(fingerprint, table._timers.now)
