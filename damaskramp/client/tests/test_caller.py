"""Request ids, outcomes and retries of a caller.

A caller that sends a request under a second id after an attempt of unknown outcome may
make the request run twice; one that retries without a budget adds to an overload.
"""

import numpy as np
from expression import Error, Ok, Result

from damaskramp.client import Caller, CallerSettings, CallResult, Transport
from damaskramp.core import Outcome, Reason, VirtualTimers
from damaskramp.http import (
    HttpRequest,
    HttpResponse,
    TransportError,
    TransportErrorKind,
)
from damaskramp.testing import LoopTestCase

BOOKING = HttpRequest("POST", "/book", (), b"body")
LOST = Error(TransportError(TransportErrorKind.BROKEN, True))
UNSENT = Error(TransportError(TransportErrorKind.CONNECT, False))


def node_response(outcome: Outcome, reason: Reason = Reason.NONE, **fields: str) -> Ok:
    """Return the response of a node."""
    headers = [(b"damaskramp-outcome", outcome.value.encode())]
    headers.append((b"damaskramp-reason", reason.value.encode()))
    headers += [(n.replace("_", "-").encode(), v.encode()) for n, v in fields.items()]
    return Ok(HttpResponse(200, tuple(headers)))


ISSUED = node_response(Outcome.ANSWER, damaskramp_request_id="id-1")
ISSUED_AGAIN = node_response(Outcome.ANSWER, damaskramp_request_id="id-2")
ANSWER = node_response(Outcome.ANSWER)
UNKNOWN = node_response(Outcome.UNKNOWN, Reason.ANSWER_LOST)


class ScriptedTransport(Transport):
    """Transport that returns the given answers in order and repeats the last one."""

    def __init__(self, *answers: Result) -> None:
        self._answers = list(answers)
        self.sent: list[HttpRequest] = []

    async def send(
        self, request: HttpRequest, timeout: float, attempt: int
    ) -> Result[HttpResponse, TransportError]:
        self.sent.append(request)
        if len(self._answers) > 1:
            return self._answers.pop(0)
        return self._answers[0]


class CallerTests(LoopTestCase):
    def call(self, *answers: Result, calls: int = 1, **settings) -> CallResult:
        timers = VirtualTimers()
        self.pauses: list[float] = []

        async def sleep(seconds: float) -> None:
            self.pauses.append(seconds)
            timers.advance(seconds)

        self.transport = ScriptedTransport(*answers)
        caller = Caller(
            CallerSettings(b"key", **settings),
            timers,
            self.transport,
            np.random.default_rng(3),
            sleep,
        )
        for _ in range(calls):
            result = self.run_loop(caller.call(BOOKING))
        return result

    def idempotency_keys(self) -> list[bytes | None]:
        return [request.value(b"idempotency-key") for request in self.transport.sent]

    def first_attempt_flags(self) -> list[bool]:
        mark = b"damaskramp-first-attempt"
        return [request.value(mark) is not None for request in self.transport.sent]

    def test_acquires_an_id_first(self):
        result = self.call(ISSUED, ANSWER)
        self.assertEqual(Outcome.ANSWER, result.outcome)
        self.assertEqual([None, b"id-1"], self.idempotency_keys())
        self.assertEqual([False, True], self.first_attempt_flags())

    def test_uses_the_id_of_the_last_answer_once(self):
        answer_with_next_id = node_response(
            Outcome.ANSWER, damaskramp_next_request_id="id-9"
        )
        self.call(ISSUED, answer_with_next_id, ANSWER, ISSUED_AGAIN, ANSWER, calls=3)
        self.assertEqual(
            [None, b"id-1", b"id-9", None, b"id-2"], self.idempotency_keys()
        )

    def test_asks_again_under_the_same_id_after_unknown(self):
        for unknown in (UNKNOWN, LOST, Ok(HttpResponse(502))):
            result = self.call(ISSUED, unknown, unknown, ANSWER)
            self.assertEqual(Outcome.ANSWER, result.outcome)
            self.assertEqual([None, *[b"id-1"] * 3], self.idempotency_keys())
            self.assertEqual([False, True, False, False], self.first_attempt_flags())

    def test_never_takes_a_new_id_after_unknown(self):
        lost = node_response(Outcome.UNKNOWN, Reason.HISTORY_LOST)
        for answers in ((UNKNOWN,), (LOST,), (LOST, lost), (lost,)):
            result = self.call(ISSUED, *answers)
            self.assertEqual(Outcome.UNKNOWN, result.outcome)
            self.assertEqual({None, b"id-1"}, set(self.idempotency_keys()))

    def test_unsent_repeat_does_not_hide_an_unknown_attempt(self):
        result = self.call(ISSUED, LOST, UNSENT)
        self.assertEqual(Outcome.UNKNOWN, result.outcome)
        self.assertEqual(Outcome.NOT_RUN, self.call(ISSUED, UNSENT).outcome)

    def test_takes_a_new_id_if_the_home_is_lost_and_nothing_ran(self):
        for reason in (Reason.HISTORY_LOST, Reason.HOME_UNREACHABLE):
            home_lost = node_response(Outcome.NOT_RUN, reason)
            answers = (ISSUED, *[home_lost] * 4, ISSUED_AGAIN, ANSWER)
            if reason is Reason.HISTORY_LOST:
                answers = (ISSUED, home_lost, ISSUED_AGAIN, ANSWER)
            result = self.call(*answers)
            self.assertEqual(Outcome.ANSWER, result.outcome)
            self.assertEqual(b"id-2", self.idempotency_keys()[-1])

    def test_final_refusals_are_not_repeated(self):
        for reason in (Reason.KEY_WITHDRAWN, Reason.REQUEST_CONFLICT):
            self.call(ISSUED, node_response(Outcome.NOT_RUN, reason))
            self.assertEqual(2, len(self.transport.sent))

    def test_pause_is_the_retry_after_hint_with_jitter(self):
        busy = node_response(Outcome.NOT_RUN, Reason.OVERLOADED, retry_after="1")
        self.call(ISSUED, busy)
        self.assertTrue(self.pauses)
        for pause in self.pauses:
            self.assertTrue(1.0 <= pause <= 1.5, pause)
        self.assertEqual(len(self.pauses), len(set(self.pauses)))

    def test_retries_stay_within_the_budget(self):
        calls, burst, ratio = 50, 3.0, 0.1
        self.call(ISSUED, UNKNOWN, calls=calls, retry_burst=burst, retry_ratio=ratio)
        retries = len(self.transport.sent) - 2 * calls
        self.assertLessEqual(retries, burst + ratio * calls)

    def test_stops_at_the_deadline(self):
        busy = node_response(Outcome.NOT_RUN, Reason.OVERLOADED, retry_after="9")
        result = self.call(ISSUED, busy)
        self.assertEqual(Outcome.NOT_RUN, result.outcome)
        self.assertEqual([], self.pauses)
