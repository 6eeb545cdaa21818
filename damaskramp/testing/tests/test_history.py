"""The history checker accepts valid histories and finds each kind of violation.

A checker that misses a violation would let tests of the whole system pass.
"""

from dataclasses import replace

from damaskramp.core import Outcome
from damaskramp.testing import LoopTestCase
from damaskramp.testing.history import (
    Completion,
    Execution,
    History,
    Invocation,
    ViolationKind,
    Withdrawal,
    judge,
)

SENT = Invocation("a1", "clubs", "key-1", "id-1", 1.0, "d1")
AGAIN = Invocation("a2", "clubs", "key-1", "id-1", 3.0, "d1")
RAN = Execution("h1", "clubs", "id-1", 1.5, "d1")
ANSWERED = Completion("a1", Outcome.ANSWER, 2.0, "id-1", "d1")


def completion(attempt: str, outcome: Outcome, at: float) -> Completion:
    return Completion(attempt, outcome, at)


class HistoryTests(LoopTestCase):
    def kinds(self, history: History, bound: float = 0.0) -> set[ViolationKind]:
        return {violation.kind for violation in judge(history, bound)}

    def test_clean_runs_pass(self):
        repeat = replace(ANSWERED, attempt="a2", at=3.5)
        histories = (
            History([SENT], [ANSWERED], [RAN]),
            History([SENT, AGAIN], [ANSWERED, repeat], [RAN]),
            History([SENT], [completion("a1", Outcome.NOT_RUN, 2.0)]),
            History([SENT], [completion("a1", Outcome.UNKNOWN, 1.2)], [RAN]),
            History([SENT], [], [RAN]),
        )
        for history in histories:
            self.assertEqual(set(), self.kinds(history))

    def test_not_run_then_a_repeat_that_runs_passes(self):
        late = replace(RAN, at=3.2)
        history = History(
            [SENT, AGAIN],
            [
                completion("a1", Outcome.NOT_RUN, 2.0),
                replace(ANSWERED, attempt="a2", at=3.5),
            ],
            [late],
        )
        self.assertEqual(set(), self.kinds(history))

    def test_second_run_is_found(self):
        history = History([SENT], [], [RAN, replace(RAN, host="h2", at=1.7)])
        self.assertEqual({ViolationKind.RAN_TWICE}, self.kinds(history))

    def test_second_run_of_idempotent_request_passes(self):
        sent = replace(SENT, idempotent=True)
        history = History([sent], [], [RAN, replace(RAN, host="h2", at=1.7)])
        self.assertEqual(set(), self.kinds(history))

    def test_false_not_run_is_found(self):
        refused = completion("a1", Outcome.NOT_RUN, 2.0)
        for at in (1.5, 2.5):
            history = History([SENT], [refused], [replace(RAN, at=at)])
            self.assertEqual({ViolationKind.FALSE_NOT_RUN}, self.kinds(history))

    def test_not_run_told_to_a_repeat_after_the_run_is_found(self):
        history = History(
            [SENT, AGAIN],
            [
                completion("a1", Outcome.UNKNOWN, 2.0),
                completion("a2", Outcome.NOT_RUN, 3.5),
            ],
            [RAN],
        )
        self.assertEqual({ViolationKind.FALSE_NOT_RUN}, self.kinds(history))

    def test_wrong_and_broken_answers_are_found(self):
        broken_answers = (
            replace(ANSWERED, answer_id="id-2"),
            replace(ANSWERED, answer_digest="d2"),
            replace(ANSWERED, whole=False),
        )
        for answer in broken_answers:
            history = History([SENT], [answer], [RAN])
            self.assertEqual({ViolationKind.WRONG_ANSWER}, self.kinds(history))

    def test_run_for_another_team_is_found(self):
        history = History([SENT], [], [replace(RAN, team="schools")])
        self.assertEqual({ViolationKind.WRONG_TEAM}, self.kinds(history))

    def test_run_after_withdrawal_is_found(self):
        history = History([SENT], [], [RAN], [Withdrawal("key-1", 1.2)])
        self.assertEqual({ViolationKind.WITHDRAWN_KEY}, self.kinds(history))
        self.assertEqual(set(), self.kinds(history, bound=0.5))

    def test_attempt_without_id_explains_one_run(self):
        unnamed = replace(SENT, request_id="")
        second = replace(RAN, request_id="id-2")
        self.assertEqual(set(), self.kinds(History([unnamed], [], [RAN])))
        history = History([unnamed], [], [RAN, second])
        self.assertEqual({ViolationKind.NOT_ASKED_FOR}, self.kinds(history))

    def test_run_that_nobody_asked_for_is_found(self):
        late = replace(RAN, at=2.5)
        for history in (History([], [], [RAN]), History([SENT], [ANSWERED], [late])):
            self.assertEqual({ViolationKind.NOT_ASKED_FOR}, self.kinds(history))
