"""Outcome and reason that a caller gets for each point at which a request is lost.

Each row of docs/design/outcomes.md has a test. A wrong outcome would make a caller
repeat a request that has run, or give up one that has not.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from dataclasses import replace
from functools import partial
from unittest import mock

from damaskramp.core import HostId, Incarnation, Outcome, Reason, ZoneName
from damaskramp.dedup import claim_key, parse_request_id
from damaskramp.http import HttpRequest, HttpResponse
from damaskramp.node.calls import CallContext, HomeIdentity, Reply
from damaskramp.node.home_messages import ClaimCopy, CopyResult
from damaskramp.node.lifecycle import Lifecycle
from damaskramp.node.tests.fake_fleet import (
    KEYS,
    BackendFate,
    FakeFleet,
    FakeNode,
    bundle_view,
)
from damaskramp.ownership import Owner
from damaskramp.testing import LoopTestCase

FIRST = ((b"damaskramp-first-attempt", b"true"),)
NOT_RUN, UNKNOWN = Outcome.NOT_RUN, Outcome.UNKNOWN
ANSWER, IN_PROGRESS = Outcome.ANSWER, Outcome.IN_PROGRESS


def booking(
    request_id: str = "",
    team: str = "clubs",
    more: tuple = (),
    target: str = "/book/1",
    body: bytes = b"",
) -> HttpRequest:
    """Non-idempotent request of a team, without a key if `team` is empty."""
    headers = more
    if team:
        headers += ((b"authorization", b"Bearer " + KEYS[team]),)
    if request_id:
        headers += ((b"idempotency-key", request_id.encode()),)
    return HttpRequest("POST", target, headers, body)


def zoned(zone: str, name: str = "own") -> str:
    """Id that names its home zone, and its issue time if `name` is a UUIDv7."""
    return f"drz1~{zone}~{name}"


class OutcomeTests(LoopTestCase):
    """Outcomes in a settled fleet.

    Unless a test says otherwise, every home has full history coverage of its ranges.
    """

    def run_check(self, check: object, bundle: object = None) -> None:
        async def play() -> None:
            self.fleet = FakeFleet(7, bundle or bundle_view(retention=5.0))
            self.fleet.build()
            self.fleet.fate = BackendFate.ANSWERED
            await self.fleet.advance(6.0)
            await check()
            self.fleet.close()

        self.run_loop(play())

    async def assert_outcome(
        self, host: str, request: HttpRequest, outcome: Outcome, reason: Reason
    ) -> HttpResponse:
        answer = await self.fleet.call(host, request)
        outcome_name = answer.value(b"damaskramp-outcome").decode()
        reason_name = (answer.value(b"damaskramp-reason") or b"none").decode()
        self.assertEqual((outcome.value, reason.value), (outcome_name, reason_name))
        return answer

    async def issue(self, host: str, team: str = "clubs") -> str:
        request = HttpRequest(
            "POST",
            "/damaskramp/request-id",
            ((b"authorization", b"Bearer " + KEYS[team]),),
        )
        answer = await self.fleet.call(host, request)
        return answer.value(b"damaskramp-request-id").decode()

    def home_of(self, request_id: str, zone: str) -> FakeNode:
        key = claim_key("clubs", parse_request_id(request_id).ok.text)
        return self.fleet.owner_of(key, zone)

    def other_than(self, *nodes: FakeNode) -> str:
        hosts = [node.host for node in nodes]
        return next(h for h in self.fleet.nodes if h not in hosts)

    def test_entry_refuses_before_an_id_is_known(self):
        async def check() -> None:
            bad = booking("drq1~broken")
            await self.assert_outcome("north-0", bad, NOT_RUN, Reason.BAD_REQUEST)
            await self.assert_outcome(
                "north-0", booking(team=""), NOT_RUN, Reason.KEY_MISSING
            )
            keyless = booking("own", team="")
            await self.assert_outcome("north-0", keyless, UNKNOWN, Reason.KEY_MISSING)
            marked = booking("own", team="", more=FIRST)
            await self.assert_outcome("north-0", marked, NOT_RUN, Reason.KEY_MISSING)

        self.run_check(check)

    def test_team_over_rate(self):
        async def check() -> None:
            self.fleet.over_rate = 1.0
            refused = Reason.TEAM_OVER_RATE
            await self.assert_outcome("north-0", booking(), NOT_RUN, refused)
            await self.assert_outcome(
                "north-0", booking(zoned("south")), NOT_RUN, refused
            )
            self.fleet.cut(1.0)
            await self.assert_outcome(
                "north-0", booking(zoned("south")), UNKNOWN, refused
            )
            await self.fleet.advance(1.0)
            self.fleet.over_rate = 0.0
            await self.assert_outcome("north-0", booking("ran"), ANSWER, Reason.NONE)
            self.fleet.over_rate = 1.0
            await self.assert_outcome("south-0", booking("ran"), ANSWER, Reason.NONE)

        self.run_check(check)

    def test_home_zone_is_cut_off(self):
        async def check() -> None:
            self.fleet.cut(5.0)
            lost = Reason.HOME_UNREACHABLE
            south = booking(zoned("south"))
            await self.assert_outcome("north-0", south, UNKNOWN, lost)
            marked = booking(zoned("south"), more=FIRST)
            await self.assert_outcome("north-0", marked, NOT_RUN, lost)
            north = booking(zoned("north"))
            await self.assert_outcome("north-0", north, ANSWER, Reason.NONE)
            await self.assert_outcome("north-0", booking(), ANSWER, Reason.NONE)

        self.run_check(check)

    def test_home_of_issued_id_is_gone(self):
        async def check() -> None:
            request = booking(await self.issue("north-1"))
            await self.assert_outcome("south-0", request, ANSWER, Reason.NONE)
            self.fleet.kill("north-1")
            await self.assert_outcome(
                "south-0", request, UNKNOWN, Reason.HOME_UNREACHABLE
            )
            self.fleet.restart("north-1")
            await self.assert_outcome("south-0", request, UNKNOWN, Reason.HISTORY_LOST)
            await self.assert_outcome("north-1", request, UNKNOWN, Reason.HISTORY_LOST)

        self.run_check(check)

    def test_message_to_home_or_its_reply_is_lost(self):
        async def check() -> None:
            request = booking(await self.issue("north-1"))
            self.fleet.lose_requests_to.add("north-1")
            await self.assert_outcome("south-0", request, UNKNOWN, Reason.ANSWER_LOST)
            self.assertEqual([], self.fleet.executions)
            self.fleet.lose_requests_to.clear()
            self.fleet.lose_replies_of.add("north-1")
            await self.assert_outcome("south-0", request, UNKNOWN, Reason.ANSWER_LOST)
            self.fleet.lose_replies_of.clear()
            await self.assert_outcome("south-0", request, ANSWER, Reason.NONE)
            self.assertEqual(1, len(self.fleet.executions))

        self.run_check(check)

    def test_ids_of_another_team_reveal_nothing(self):
        async def check() -> None:
            issued = await self.issue("north-1", "schools")
            own = booking(issued, "schools")
            await self.assert_outcome("north-1", own, ANSWER, Reason.NONE)
            theirs = await self.assert_outcome(
                "north-1", booking(issued), NOT_RUN, Reason.BAD_REQUEST
            )
            never = issued[:-1] + ("0" if issued[-1] != "0" else "1")
            unknown = await self.assert_outcome(
                "north-1", booking(never), NOT_RUN, Reason.BAD_REQUEST
            )
            self.assertEqual(unknown.body, theirs.body)
            await self.assert_outcome("north-1", booking("same"), ANSWER, Reason.NONE)
            other = booking("same", "schools", target="/book/2")
            await self.assert_outcome("north-1", other, ANSWER, Reason.NONE)

        self.run_check(check)

    def test_home_is_full(self):
        async def check() -> None:
            node = self.fleet.nodes["north-1"]
            node.home.claims._most_claims = 0
            request = booking(await self.issue("north-1"))
            await self.assert_outcome("north-1", request, NOT_RUN, Reason.OVERLOADED)

        self.run_check(check)

    def test_copy_is_lost_fenced_or_known(self):
        async def check() -> None:
            request_id = zoned("north")
            home = self.home_of(request_id, "north")
            others = {h for h in self.fleet.nodes if h != home.host}
            self.fleet.lose_requests_to |= others
            request = booking(request_id)
            await self.assert_outcome(
                home.host, request, UNKNOWN, Reason.HOME_UNREACHABLE
            )
            marked = booking(request_id, more=FIRST)
            await self.assert_outcome(
                home.host, marked, NOT_RUN, Reason.HOME_UNREACHABLE
            )
            self.fleet.lose_requests_to.clear()
            for node in self.fleet.nodes.values():
                if node is not home:
                    node.ownership.may_release = lambda resource, releaser: False
            await self.assert_outcome(
                home.host, request, UNKNOWN, Reason.HOME_UNREACHABLE
            )
            self.assertEqual([], self.fleet.executions)

        self.run_check(check)

    def test_stale_home_does_not_report_not_run_for_refused_repeat(self):
        async def check() -> None:
            request = booking(zoned("north"))
            home = self.home_of(zoned("north"), "north")
            for node in self.fleet.nodes.values():
                if node is not home:
                    node.ownership.may_release = lambda resource, releaser: False
            self.fleet.over_rate = 1.0
            await self.assert_outcome(
                home.host, request, UNKNOWN, Reason.TEAM_OVER_RATE
            )

        self.run_check(check)

    def test_claim_of_an_earlier_home_is_known_by_its_copy(self):
        async def check() -> None:
            request_id = zoned("north")
            home = self.home_of(request_id, "north")
            key = claim_key("clubs", request_id)
            for node in self.fleet.nodes.values():
                if node.zone == "north" and node is not home:
                    node.ownership.may_release = lambda resource, releaser: True
                    former = Owner(home.host, Incarnation(1), "")
                    kept = node.home.keep_copy(ClaimCopy(key, b"", former))
                    self.assertEqual(CopyResult.KEPT, kept)
            marked = booking(request_id, more=FIRST)
            await self.assert_outcome(home.host, marked, UNKNOWN, Reason.HISTORY_LOST)
            self.assertEqual([], self.fleet.executions)

        self.run_check(check)

    def test_backend_server_fails(self):
        async def check() -> None:
            rows = (
                (BackendFate.CONNECT_FAILED, NOT_RUN, Reason.CONNECT_FAILED),
                (BackendFate.SHED, NOT_RUN, Reason.OVERLOADED),
                (BackendFate.BROKEN, UNKNOWN, Reason.ANSWER_LOST),
            )
            for fate, outcome, reason in rows:
                self.fleet.fate = fate
                request = booking(await self.issue("north-1"))
                await self.assert_outcome("north-1", request, outcome, reason)
                self.fleet.fate = BackendFate.ANSWERED
                next_outcome = ANSWER if outcome is NOT_RUN else UNKNOWN
                next_reason = (
                    Reason.NONE if next_outcome is ANSWER else Reason.ANSWER_LOST
                )
                await self.assert_outcome("north-1", request, next_outcome, next_reason)

        self.run_check(check)

    def test_refused_retry_of_an_unknown_attempt_is_unknown(self):
        async def check() -> None:
            self.fleet.fate = BackendFate.BROKEN
            request = booking(await self.issue("north-1"))
            await self.assert_outcome("south-0", request, UNKNOWN, Reason.ANSWER_LOST)
            self.fleet.over_rate = 1.0
            await self.assert_outcome("south-0", request, UNKNOWN, Reason.ANSWER_LOST)
            self.fleet.over_rate = 0.0
            self.fleet.fate = BackendFate.SHED
            await self.assert_outcome("south-1", request, UNKNOWN, Reason.ANSWER_LOST)

        self.run_check(check)

    def test_backend_server_is_too_slow(self):
        async def check() -> None:
            self.fleet.service_seconds = 1000.0
            request = booking()
            await self.assert_outcome(
                "north-0", request, UNKNOWN, Reason.DEADLINE_EXCEEDED
            )

        self.run_check(check)

    def test_every_executing_node_is_leaving(self):
        async def check() -> None:
            for node in self.fleet.nodes.values():
                node.executor._lifecycle.replace(Lifecycle.LEAVING)
            await self.assert_outcome("north-0", booking(), NOT_RUN, Reason.STOPPING)

        self.run_check(check)

    def test_executing_node_dies_with_the_message(self):
        async def check() -> None:
            self.fleet.lose_replies_of |= set(self.fleet.nodes)
            answers = [
                await self.fleet.call("north-1", booking(await self.issue("north-1")))
                for _ in range(6)
            ]
            outcomes = {answer.value(b"damaskramp-outcome") for answer in answers}
            self.assertEqual({b"unknown", b"answer"}, outcomes)
            self.assertEqual(len(answers), len(self.fleet.executions))

        self.run_check(check)

    def test_key_is_withdrawn_while_queued(self):
        async def check() -> None:
            for node in self.fleet.nodes.values():
                node.executor._key_withdrawn = lambda context: True
            await self.assert_outcome(
                "north-0", booking(), NOT_RUN, Reason.KEY_WITHDRAWN
            )

        self.run_check(check)

    def test_repeat_while_running(self):
        async def check() -> None:
            self.fleet.service_seconds = 0.5
            request = booking(await self.issue("north-1"))
            node = self.fleet.nodes["north-1"]
            first = node.spawn(node.entry.handle(request))
            await self.fleet.advance(0.1)
            answer = await self.assert_outcome(
                "north-1", request, IN_PROGRESS, Reason.REQUEST_RUNNING
            )
            self.assertEqual(409, answer.status)
            await self.fleet.settle(first)
            await self.assert_outcome("north-1", request, ANSWER, Reason.NONE)

        self.run_check(check)

    def test_disconnected_caller_gets_answer_on_repeat(self):
        async def check() -> None:
            request = booking(await self.issue("north-1"))
            node = self.fleet.nodes["north-1"]
            first = node.spawn(node.entry.handle(request))
            await asyncio.sleep(0)
            first.cancel()
            await self.fleet.advance(1.0)
            await self.assert_outcome("south-1", request, ANSWER, Reason.NONE)
            self.assertEqual(1, len(self.fleet.executions))

        self.run_check(check)

    def test_same_id_with_another_request(self):
        async def check() -> None:
            request_id = await self.issue("north-1")
            await self.assert_outcome(
                "north-1", booking(request_id), ANSWER, Reason.NONE
            )
            conflict = Reason.REQUEST_CONFLICT
            for other in (
                booking(request_id, target="/book/2"),
                booking(request_id, body=b"other"),
            ):
                answer = await self.assert_outcome("south-1", other, UNKNOWN, conflict)
                self.assertEqual(422, answer.status)

        self.run_check(check)

    def test_answer_is_no_longer_kept(self):
        async def check() -> None:
            self.fleet.nodes["north-1"].home.claims._most_bytes = 0
            request = booking(await self.issue("north-1"))
            await self.assert_outcome("north-1", request, ANSWER, Reason.NONE)
            await self.assert_outcome("north-1", request, UNKNOWN, Reason.ANSWER_LOST)
            self.assertEqual(1, len(self.fleet.executions))

        self.run_check(check)

    def test_home_that_took_over(self):
        async def check() -> None:
            home = self.fleet.nodes["north-1"]
            moved = {n for n in range(256) if home.ownership.owns(f"request/{n}")}
            entry = self.other_than(home)
            self.fleet.kill(home.host)
            lost = Reason.HISTORY_LOST
            plain = self.moved_id(moved, "before-{}")
            await self.assert_outcome(entry, booking(plain), UNKNOWN, lost)
            dated = self.moved_id(moved, self.uuid7(-1.0))
            await self.assert_outcome(entry, booking(dated), UNKNOWN, lost)
            await self.fleet.advance(1.5)
            dated = self.moved_id(moved, self.uuid7(0.0))
            await self.assert_outcome(entry, booking(dated), ANSWER, Reason.NONE)
            new = self.moved_id(moved, "new-{}")
            await self.assert_outcome(
                entry, booking(new, more=FIRST), ANSWER, Reason.NONE
            )
            await self.fleet.advance(5.0)
            await self.assert_outcome(entry, booking(plain), ANSWER, Reason.NONE)

        self.run_check(check)

    def moved_id(self, moved: set[int], form: str) -> str:
        """Id with home zone north whose range is in `moved`."""
        ids = (zoned("north", form.format(f"{n:012x}")) for n in range(1000))
        return next(i for i in ids if claim_key("clubs", i)[0] in moved)

    def uuid7(self, offset: float) -> str:
        """Template of a version 7 UUID issued `offset` seconds from now."""
        milliseconds = int((self.fleet.timers.wall_now + offset) * 1000)
        stem = f"{milliseconds:012x}"
        return f"{stem[:8]}-{stem[8:]}-7000-8000-{{}}"

    def test_executing_node_refuses_unclaimed_repeated_and_fenced_releases(self):
        async def check() -> None:
            node = self.fleet.nodes["north-0"]
            guard = node.executor._releases
            await self.assert_outcome("north-0", booking(), ANSWER, Reason.NONE)
            seen = []
            begin = guard.begin
            guard.begin = lambda context: seen.append(context) or begin(context)
            for other in self.fleet.nodes.values():
                other.executor._releases = guard
            await self.assert_outcome("north-0", booking(), ANSWER, Reason.NONE)
            context = seen[0]
            self.assertEqual(UNKNOWN, begin(context).outcome)
            former_home = HomeIdentity(
                HostId("gone"), Incarnation(1), ZoneName("north")
            )
            self.assertEqual(NOT_RUN, begin(replace(context, claim=b"")).outcome)
            fenced = replace(context, claim=b"another", home=former_home)
            self.assertEqual(Reason.HISTORY_LOST, begin(fenced).reason)

        self.run_check(check)

    def test_inactive_executing_node_runs_no_calls(self):
        async def check() -> None:
            request_id = zoned("north")
            home = self.home_of(request_id, "north")
            for node in self.fleet.nodes.values():
                if node is not home:
                    node.executor._releases._ownership = mock.Mock(active=False)
            await self.assert_outcome(
                home.host, booking(request_id), ANSWER, Reason.NONE
            )
            ran = {run.host for run in self.fleet.executions}
            inactive = [h for h in ran if h.startswith("north") and h != home.host]
            self.assertEqual([], inactive)

        self.run_check(check)

    def test_inactive_node_keeps_no_copies(self):
        async def check() -> None:
            request_id = zoned("north")
            home = self.home_of(request_id, "north")
            for node in self.fleet.nodes.values():
                if node is not home:
                    node.home._held._ownership = mock.Mock(active=False)
            lost = Reason.HOME_UNREACHABLE
            await self.assert_outcome(home.host, booking(request_id), UNKNOWN, lost)
            self.assertEqual([], self.fleet.executions)

        self.run_check(check)

    def test_cold_start_of_a_declared_first_start(self):
        async def check() -> None:
            await self.assert_outcome("north-0", booking("own"), ANSWER, Reason.NONE)

        cold = bundle_view(600.0, True, 1_700_000_000.0)
        self.run_check(check, cold)

    def test_cold_start_without_declaration(self):
        async def check() -> None:
            request = booking("own")
            await self.assert_outcome("north-0", request, UNKNOWN, Reason.HISTORY_LOST)

        self.run_check(check, bundle_view(600.0))

    def test_calls_of_a_backend_server(self):
        async def check() -> None:
            node = self.fleet.nodes["north-0"]
            seen = []
            for other in self.fleet.nodes.values():
                guard = other.executor._releases
                guard.begin = partial(_record_context, seen, guard.begin)
            await self.assert_outcome("north-0", booking(), ANSWER, Reason.NONE)
            contexts = node.entry._contexts
            executions = [contexts.issue(seen[0])[0] for _ in range(2)]

            def nested(token: str, key: str = "") -> HttpRequest:
                more = ((b"damaskramp-context", token.encode()),)
                return booking(key, team="", more=more)

            before = len(self.fleet.executions)
            for token in executions:
                await self.assert_outcome("north-0", nested(token), ANSWER, Reason.NONE)
            self.assertEqual(before + 2, len(self.fleet.executions))
            ids = {run.request_id for run in self.fleet.executions}
            self.assertEqual(before + 2, len(ids))
            # A parent that is executed again states the same key, so there is one run.
            for token in executions:
                await self.assert_outcome(
                    "north-0", nested(token, "pay"), ANSWER, Reason.NONE
                )
            self.assertEqual(before + 3, len(self.fleet.executions))
            # The same key stated by the team itself belongs to another request.
            own = booking("pay", target="/book/2")
            await self.assert_outcome("north-0", own, ANSWER, Reason.NONE)
            self.assertEqual(before + 4, len(self.fleet.executions))

        self.run_check(check)

    def test_large_answer_is_passed_on_and_not_kept(self):
        async def check() -> None:
            closed = []

            async def tail() -> AsyncIterator[bytes]:
                try:
                    yield b"more"
                finally:
                    closed.append(True)

            async def dispatch(call: object) -> Reply:
                return Reply(ANSWER, status=200, body=b"big", tail=tail())

            node = self.fleet.nodes["north-1"]
            node.home._releaser = mock.Mock(dispatch=dispatch)
            request = booking(await self.issue("north-1"))
            answer = await self.assert_outcome("north-1", request, ANSWER, Reason.NONE)
            self.assertEqual([b"more"], [chunk async for chunk in answer.tail])
            await self.assert_outcome("north-1", request, UNKNOWN, Reason.ANSWER_LOST)
            # The answer to a disconnected caller is closed, since nobody reads it.
            left = booking(await self.issue("north-1"))
            first = node.spawn(node.entry.handle(left))
            await asyncio.sleep(0)
            first.cancel()
            await self.fleet.advance(0.5)
            self.assertEqual(2, len(closed))

        self.run_check(check)


def _record_context(seen: list, begin: Callable, context: CallContext) -> Reply | None:
    seen.append(context)
    return begin(context)
