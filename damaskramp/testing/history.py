"""Checker of the history of a concurrent run against the guarantees of the system.

A run records what callers sent, what callers were told, and what backend servers ran.
All times are in seconds on one clock. The checker does not depend on how the system
works.

Examples
--------
>>> sent = Invocation("a1", "clubs", "key", "id", 1.0, "body")
>>> ran = [Execution("host-1", "clubs", "id", at, "body") for at in (1.1, 1.2)]
>>> told = Completion("a1", Outcome.ANSWER, 1.3, "id", "body")
>>> [item.kind for item in judge(History([sent], [told], ran))]
[<ViolationKind.RAN_TWICE: 'ran_twice'>]
"""

from collections import defaultdict
from dataclasses import dataclass, field
from enum import Enum

from damaskramp.core import Outcome

__all__ = [
    "Completion",
    "Execution",
    "History",
    "Invocation",
    "Violation",
    "ViolationKind",
    "Withdrawal",
    "judge",
]


@dataclass(frozen=True, slots=True)
class Invocation:
    """Attempt of a caller to send a request.

    Attributes
    ----------
    attempt : str
        Unique name of the attempt.
    team : str
        Team of the key; empty if the key belongs to no team.
    request_id : str
        Request id that the attempt carried or was given; empty if it carried none
        and its caller received no response. Such an attempt explains at most one
        run.
    digest : str
        Digest of the request.
    """

    attempt: str
    team: str
    key: str
    request_id: str
    sent_at: float
    digest: str
    idempotent: bool = False


@dataclass(frozen=True, slots=True)
class Completion:
    """Response to an attempt, as its caller received it.

    Attributes
    ----------
    answer_id, answer_digest : str
        Request id and request digest that an answer echoes.
    whole : bool
        Whether the answer had its stated length.
    """

    attempt: str
    outcome: Outcome
    at: float
    answer_id: str = ""
    answer_digest: str = ""
    whole: bool = True


@dataclass(frozen=True, slots=True)
class Execution:
    """Run of a request; `at` is the arrival of its first byte at the backend server."""

    host: str
    team: str
    request_id: str
    at: float
    digest: str


@dataclass(frozen=True, slots=True)
class Withdrawal:
    """Withdrawal of a key by the operators."""

    key: str
    at: float


@dataclass
class History:
    """Records of one run."""

    invocations: list[Invocation] = field(default_factory=list)
    completions: list[Completion] = field(default_factory=list)
    executions: list[Execution] = field(default_factory=list)
    withdrawals: list[Withdrawal] = field(default_factory=list)


class ViolationKind(Enum):
    """Guarantee that was violated."""

    RAN_TWICE = "ran_twice"
    FALSE_NOT_RUN = "false_not_run"
    WRONG_ANSWER = "wrong_answer"
    WRONG_TEAM = "wrong_team"
    WITHDRAWN_KEY = "withdrawn_key"
    NOT_ASKED_FOR = "not_asked_for"


@dataclass(frozen=True, slots=True)
class Violation:
    """Violated guarantee, with the request id that shows it."""

    kind: ViolationKind
    request_id: str
    detail: str


Identity = tuple[str, str]


def judge(history: History, withdrawal_bound: float = 0.0) -> list[Violation]:
    """Return the violations in a history.

    Parameters
    ----------
    history : History
        Merged records of one run.
    withdrawal_bound : float
        Seconds after its withdrawal in which a key may still start requests.
    """
    judged = _Judge(history, withdrawal_bound)
    return [
        *judged.repeated_runs(),
        *judged.unaccounted_runs(),
        *judged.false_refusals(),
        *judged.wrong_answers(),
        *judged.late_keys(),
    ]


class _Judge:
    def __init__(self, history: History, withdrawal_bound: float) -> None:
        self._history = history
        self._bound = withdrawal_bound
        self._completions = {item.attempt: item for item in history.completions}
        self._withdrawn = {item.key: item.at for item in history.withdrawals}
        self._runs: dict[Identity, list[Execution]] = defaultdict(list)
        self._asked: dict[Identity, list[Invocation]] = defaultdict(list)
        self._teams: dict[str, set[str]] = defaultdict(set)
        self._attempts_without_id: list[Invocation] = []
        for run in history.executions:
            self._runs[run.team, run.request_id].append(run)
        for sent in history.invocations:
            if not sent.request_id:
                self._attempts_without_id.append(sent)
                continue
            self._asked[sent.team, sent.request_id].append(sent)
            self._teams[sent.request_id].add(sent.team)

    def repeated_runs(self) -> list[Violation]:
        """Return non-idempotent requests that ran more than once."""
        found = []
        for identity, runs in self._runs.items():
            asked = self._asked.get(identity, [])
            if len(runs) > 1 and not any(sent.idempotent for sent in asked):
                hosts = ", ".join(f"{run.host} at {run.at:.3f}" for run in runs)
                found.append(_violation(ViolationKind.RAN_TWICE, identity, hosts))
        return found

    def unaccounted_runs(self) -> list[Violation]:
        """Return runs that no attempt explains, or for another team than the key's."""
        found = []
        for identity, runs in self._runs.items():
            for run in runs:
                asked = self._asked.get(identity, ())
                if any(self._explains(sent, run) for sent in asked):
                    continue
                if not asked and self._consume_attempt_without_id(run):
                    continue
                found.append(_violation(self._unexplained(identity), identity, run))
        return found

    def _consume_attempt_without_id(self, run: Execution) -> bool:
        """Match the run to an attempt without an id, which then explains no other run.

        The result tells whether there was one.
        """
        for sent in self._attempts_without_id:
            if sent.team == run.team and self._explains(sent, run):
                self._attempts_without_id.remove(sent)
                return True
        return False

    def _unexplained(self, identity: Identity) -> ViolationKind:
        team, request_id = identity
        if team not in self._teams.get(request_id, {team}):
            return ViolationKind.WRONG_TEAM
        completions = [
            self._completions.get(sent.attempt)
            for sent in self._asked.get(identity, ())
        ]
        if any(item and item.outcome is Outcome.NOT_RUN for item in completions):
            return ViolationKind.FALSE_NOT_RUN
        return ViolationKind.NOT_ASKED_FOR

    def _explains(self, sent: Invocation, run: Execution) -> bool:
        """Return whether an attempt may have caused a run, given its outcome."""
        if sent.sent_at > run.at or sent.digest != run.digest:
            return False
        completion = self._completions.get(sent.attempt)
        if completion is None or completion.outcome in (
            Outcome.UNKNOWN,
            Outcome.IN_PROGRESS,
        ):
            return True
        if completion.outcome is Outcome.ANSWER:
            return run.at <= completion.at
        return False

    def false_refusals(self) -> list[Violation]:
        """Return attempts told "not run" whose id had run before they were sent."""
        found = []
        for identity, asked in self._asked.items():
            for sent in asked:
                completion = self._completions.get(sent.attempt)
                if completion is None or completion.outcome is not Outcome.NOT_RUN:
                    continue
                runs = self._runs.get(identity, ())
                if any(run.at < sent.sent_at for run in runs):
                    kind = ViolationKind.FALSE_NOT_RUN
                    found.append(_violation(kind, identity, sent.attempt))
        return found

    def wrong_answers(self) -> list[Violation]:
        """Return answers that are incomplete or belong to another request."""
        found = []
        for identity, asked in self._asked.items():
            for sent in asked:
                completion = self._completions.get(sent.attempt)
                if completion is None or completion.outcome is not Outcome.ANSWER:
                    continue
                own = completion.answer_id == sent.request_id
                if not (
                    own and completion.whole and completion.answer_digest == sent.digest
                ):
                    kind = ViolationKind.WRONG_ANSWER
                    found.append(_violation(kind, identity, sent.attempt))
        return found

    def late_keys(self) -> list[Violation]:
        """Return runs that began after all keys of their id were withdrawn.

        A run counts only if it began more than the withdrawal bound later.
        """
        found = []
        for identity, runs in self._runs.items():
            keys = {sent.key for sent in self._asked.get(identity, ())}
            ends = [self._withdrawn.get(key, float("inf")) for key in keys]
            last = max(ends, default=float("inf")) + self._bound
            late = [run for run in runs if run.at > last]
            found += [
                _violation(ViolationKind.WITHDRAWN_KEY, identity, run) for run in late
            ]
        return found


def _violation(kind: ViolationKind, identity: Identity, detail: object) -> Violation:
    return Violation(kind, identity[1], f"{identity[0]}: {detail}")
