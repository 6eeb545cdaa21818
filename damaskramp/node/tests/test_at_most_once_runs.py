"""Seeded runs with kills, freezes, cuts and repeats, judged by their history.

``DAMASKRAMP_RUNS`` sets the number of runs (see docs/design/at_most_once.md).
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
LONGEST_FREEZE_SECONDS = 1.5
NEWS_SECONDS = 0.5
WITHDRAWAL_SECONDS = 2 * NEWS_SECONDS + LONGEST_FREEZE_SECONDS + 0.2
ISSUE = HttpRequest("POST", "/damaskramp/request-id")


class Run:
    """One run: callers and faults drawn from a seed."""

    def __init__(self, seed: int) -> None:
        self.fleet = FakeFleet(seed)
        self.fleet.over_rate = 0.1
        self.fleet.backend_faults = 0.08
        self.fleet.duplicates = 0.1
        self.history = History()
        self._number = 0

    async def play(self) -> list[Violation]:
        """Run and judge."""
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
        able = [h for h, n in fleet.nodes.items() if n.zone == zone and n.alive]
        await fleet.freeze(
            fleet.pick(able),
            fleet.between(0.1, LONGEST_FREEZE_SECONDS),
            fleet.chance(0.7),
        )

    async def _cut(self) -> None:
        await self.fleet.sleep(self.fleet.between(0.0, 3.0))
        if self.fleet.chance(0.5):
            self.fleet.cut(self.fleet.between(0.3, 2.0))

    async def _withdraw(self) -> None:
        """Withdraw the key of one team; the nodes hear of it one by one."""
        fleet = self.fleet
        await fleet.sleep(fleet.between(0.2, 1.5))
        if fleet.chance(0.5):
            return
        self.history.withdrawals.append(Withdrawal("schools", fleet.timers.now))
        digest = hashlib.sha256(KEYS["schools"]).hexdigest()
        fleet.bundle = BundleView(fleet.bundle.signed, frozenset({digest}))
        for node in list(fleet.nodes.values()):
            await fleet.sleep(fleet.between(0.0, 2 * NEWS_SECONDS / len(fleet.nodes)))
            node.bundle.replace(fleet.bundle)

    async def _request(self) -> None:
        """One request, sent and repeated at several nodes."""
        fleet = self.fleet
        await fleet.sleep(fleet.between(0.0, 4.0))
        team = fleet.pick(list(KEYS))
        kind = fleet.pick(["issued", "plain", "uuid7", "zoned", "none"])
        request_id = await self._id(kind, team)
        marked = fleet.chance(0.5)
        target = fleet.pick(["/book/1", "/book/2"])
        tasks = []
        for attempt in range(1 if kind == "none" else int(fleet.between(1, 5))):
            mark = marked and attempt == 0
            node = fleet.nodes[fleet.pick(list(fleet.nodes))]
            sending = self._send(node, team, request_id, target, mark)
            tasks.append(asyncio.create_task(sending))
            if fleet.chance(0.6) or mark:
                await fleet.sleep(fleet.between(0.0, REPEAT_SECONDS / 4))
        await asyncio.gather(*tasks)

    async def _id(self, kind: str, team: str) -> str:
        fleet = self.fleet
        self._number += 1
        if kind == "plain":
            return f"own-{self._number}"
        if kind == "zoned":
            return f"drz1~{fleet.pick(['north', 'south'])}~own-{self._number}"
        if kind == "uuid7":
            skew = fleet.between(-0.4, 0.4)
            milliseconds = int((fleet.timers.wall_now + skew) * 1000)
            number = (milliseconds << 80) | (7 << 76) | (2 << 62) | self._number
            return str(uuid.UUID(int=number))
        if kind == "issued":
            node = fleet.nodes[fleet.pick(list(fleet.nodes))]
            request = HttpRequest(ISSUE.method, ISSUE.target, _key(team))
            answer = await node.entry.handle(request)
            return (answer.value(b"damaskramp-request-id") or b"").decode()
        return ""

    async def _send(
        self, node: FakeNode, team: str, request_id: str, target: str, mark: bool
    ) -> None:
        headers = _key(team)
        if request_id:
            headers += ((b"idempotency-key", request_id.encode()),)
        if mark:
            headers += ((b"damaskramp-first-attempt", b"true"),)
        request = HttpRequest("POST", target, headers, b"body")
        attempt = f"a{len(self.history.invocations)}"
        place = len(self.history.invocations)
        sent_at = self.fleet.timers.now
        digest = hashlib.sha256(target.encode() + b"body").hexdigest()
        sent = Invocation(attempt, team, team, request_id, sent_at, digest)
        self.history.invocations.append(sent)
        await node.thawed()
        try:
            answer = await node.spawn(node.entry.handle(request))
        except asyncio.CancelledError:
            return
        named = (answer.value(b"damaskramp-request-id") or b"").decode()
        if not request_id and named:
            self.history.invocations[place] = Invocation(
                attempt, team, team, named, sent_at, digest
            )
        self.history.completions.append(_told(attempt, answer, self.fleet.timers.now))


def _key(team: str) -> tuple[tuple[bytes, bytes], ...]:
    return ((b"authorization", b"Bearer " + KEYS[team]),)


def _told(attempt: str, answer: HttpResponse, at: float) -> Completion:
    outcome = Outcome(answer.value(b"damaskramp-outcome").decode())
    if outcome is not Outcome.ANSWER:
        return Completion(attempt, outcome, at)
    body = orjson.loads(answer.body)
    return Completion(attempt, outcome, at, body["id"], body["digest"])


class AtMostOnceRuns(LoopTestCase):
    def play(self, seed: int) -> tuple[list[Violation], History]:
        run = Run(seed)
        return self.run_loop(run.play()), run.history

    def test_no_run_breaks_a_promise(self):
        outcomes: dict[Outcome, int] = dict.fromkeys(Outcome, 0)
        executed = 0
        for seed in range(RUNS):
            violations, history = self.play(seed)
            self.assertEqual([], violations, f"seed {seed}")
            executed += len(history.executions)
            for told in history.completions:
                outcomes[told.outcome] += 1
        # The runs are worth something only if each outcome was told.
        self.assertGreater(executed, RUNS)
        for outcome, count in outcomes.items():
            self.assertGreater(count, 0, outcome)

    def found_without(
        self, patch: object, awaited: ViolationKind = ViolationKind.RAN_TWICE
    ) -> set[ViolationKind]:
        """Kinds of violations once a part of the mechanism is taken out."""
        kinds = set()
        with patch:
            for seed in range(RUNS):
                violations, _ = self.play(seed)
                kinds |= {violation.kind for violation in violations}
                if awaited in kinds:
                    break
        return kinds

    def test_runs_fail_without_claims(self):
        claim_anyway = mock.patch.object(ClaimTable, "claim", _claim_anyway)
        keep_all = mock.patch.object(ClaimTable, "sweep")
        withdraw = mock.patch.object(ClaimTable, "withdraw")
        with claim_anyway, keep_all, withdraw, _without_guard():
            kinds = self.found_without(
                mock.patch.object(Home, "_known", return_value=None)
            )
        self.assertIn(ViolationKind.RAN_TWICE, kinds)

    def test_runs_fail_when_every_home_accounts_for_all(self):
        accounts = mock.patch(
            "damaskramp.node.home.may_release_own_id", return_value=True
        )
        # Copies alone would stop most repeats: they go as well.
        no_copies = mock.patch.object(ClaimCopies, "keep", return_value=CopyResult.KEPT)
        with no_copies, _without_guard():
            kinds = self.found_without(accounts)
        self.assertIn(ViolationKind.RAN_TWICE, kinds)

    def test_runs_fail_without_the_check_at_release(self):
        accepted = mock.patch.object(BundleView, "team_of", _team_of_any_key)
        unchecked = mock.patch.object(Executor, "_key_withdrawn", return_value=False)
        with accepted:
            kinds = self.found_without(unchecked, ViolationKind.WITHDRAWN_KEY)
        self.assertEqual({ViolationKind.WITHDRAWN_KEY}, kinds)

    def test_runs_fail_when_refusals_are_told_blindly(self):
        blind = mock.patch("damaskramp.node.entry.Entry._true_refusal", _refuse_blindly)
        kinds = self.found_without(blind, ViolationKind.FALSE_NOT_RUN)
        self.assertEqual({ViolationKind.FALSE_NOT_RUN}, kinds)


def _team_of_any_key(view: BundleView, digest: str) -> str | None:
    return next((k.team for k in view.contents.keys if k.digest == digest), None)


@contextmanager
def _without_guard() -> Iterator[None]:
    with (
        mock.patch.object(ReleaseGuard, "begin", return_value=None),
        mock.patch.object(ReleaseGuard, "end", return_value=None),
    ):
        yield


async def _refuse_blindly(
    entry: Entry, arrival: object, identity: object, call: object, refusal: object
) -> object:
    return refusal


def _claim_anyway(table: object, key: bytes, mark: bytes) -> None:
    table._claims[key] = Claim(mark, table._timers.now)
