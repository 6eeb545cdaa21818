"""Checking the history of a concurrent run against what is promised.

A run records what callers sent and were told and what backend servers ran. All
times are seconds on one clock. The checker needs no knowledge of the system.

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
    """One attempt of a caller.

    Attributes
    ----------
    attempt : str
        Unique name of the attempt.
    team : str
        Team of the key; empty where the key is nobody's.
    request_id : str
        Id that the attempt carried or was given; empty where it carried none and
        its caller was told nothing. Such an attempt explains one run at most.
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
    """What the caller of an attempt was told.

    Attributes
    ----------
    answer_id, answer_digest : str
        Id and request digest that an answer echoes.
    whole : bool
        Whether an answer had its stated length.
    """

    attempt: str
    outcome: Outcome
    at: float
    answer_id: str = ""
    answer_digest: str = ""
    whole: bool = True


@dataclass(frozen=True, slots=True)
class Execution:
    """First byte of a request at a backend server."""

    host: str
    team: str
    request_id: str
    at: float
    digest: str


@dataclass(frozen=True, slots=True)
class Withdrawal:
    """A key withdrawn by the operators."""

    key: str
    at: float


@dataclass
class History:
    """All that was recorded in one run."""

    invocations: list[Invocation] = field(default_factory=list)
    completions: list[Completion] = field(default_factory=list)
    executions: list[Execution] = field(default_factory=list)
    withdrawals: list[Withdrawal] = field(default_factory=list)


class ViolationKind(Enum):
    """Promise that was broken."""

    RAN_TWICE = "ran_twice"
    FALSE_NOT_RUN = "false_not_run"
    WRONG_ANSWER = "wrong_answer"
    WRONG_TEAM = "wrong_team"
    WITHDRAWN_KEY = "withdrawn_key"
    NOT_ASKED_FOR = "not_asked_for"


@dataclass(frozen=True, slots=True)
class Violation:
    """A broken promise, with the request id that shows it."""

    kind: ViolationKind
    request_id: str
    detail: str


Identity = tuple[str, str]


def judge(history: History, withdrawal_bound: float = 0.0) -> list[Violation]:
    """Violations in a history.

    Parameters
    ----------
    history : History
        Merged records of one run.
    withdrawal_bound : float
        Seconds after a withdrawal in which its key may still release requests.
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
        self._unnamed: list[Invocation] = []
        for run in history.executions:
            self._runs[run.team, run.request_id].append(run)
        for sent in history.invocations:
            if not sent.request_id:
                self._unnamed.append(sent)
                continue
            self._asked[sent.team, sent.request_id].append(sent)
            self._teams[sent.request_id].add(sent.team)

    def repeated_runs(self) -> list[Violation]:
        """Non-idempotent requests that ran more than once."""
        found = []
        for identity, runs in self._runs.items():
            asked = self._asked.get(identity, [])
            if len(runs) > 1 and not any(sent.idempotent for sent in asked):
                hosts = ", ".join(f"{run.host} at {run.at:.3f}" for run in runs)
                found.append(_violation(ViolationKind.RAN_TWICE, identity, hosts))
        return found

    def unaccounted_runs(self) -> list[Violation]:
        """Runs that no attempt explains, or under another team than the key's."""
        found = []
        for identity, runs in self._runs.items():
            for run in runs:
                asked = self._asked.get(identity, ())
                if any(self._explains(sent, run) for sent in asked):
                    continue
                if not asked and self._take_unnamed(run):
                    continue
                found.append(_violation(self._unexplained(identity), identity, run))
        return found

    def _take_unnamed(self, run: Execution) -> bool:
        """Use up an attempt without an id whose caller was told nothing."""
        for sent in self._unnamed:
            if sent.team == run.team and self._explains(sent, run):
                self._unnamed.remove(sent)
                return True
        return False

    def _unexplained(self, identity: Identity) -> ViolationKind:
        team, request_id = identity
        if team not in self._teams.get(request_id, {team}):
            return ViolationKind.WRONG_TEAM
        told = [
            self._completions.get(sent.attempt)
            for sent in self._asked.get(identity, ())
        ]
        if any(item and item.outcome is Outcome.NOT_RUN for item in told):
            return ViolationKind.FALSE_NOT_RUN
        return ViolationKind.NOT_ASKED_FOR

    def _explains(self, sent: Invocation, run: Execution) -> bool:
        """Whether an attempt may have caused a run without breaking its outcome."""
        if sent.sent_at > run.at or sent.digest != run.digest:
            return False
        told = self._completions.get(sent.attempt)
        if told is None or told.outcome in (Outcome.UNKNOWN, Outcome.IN_PROGRESS):
            return True
        if told.outcome is Outcome.ANSWER:
            return run.at <= told.at
        return False

    def false_refusals(self) -> list[Violation]:
        """Attempts told "not run" although their id had run when they were sent."""
        found = []
        for identity, asked in self._asked.items():
            for sent in asked:
                told = self._completions.get(sent.attempt)
                if told is None or told.outcome is not Outcome.NOT_RUN:
                    continue
                runs = self._runs.get(identity, ())
                if any(run.at < sent.sent_at for run in runs):
                    kind = ViolationKind.FALSE_NOT_RUN
                    found.append(_violation(kind, identity, sent.attempt))
        return found

    def wrong_answers(self) -> list[Violation]:
        """Answers that are broken or belong to another request."""
        found = []
        for identity, asked in self._asked.items():
            for sent in asked:
                told = self._completions.get(sent.attempt)
                if told is None or told.outcome is not Outcome.ANSWER:
                    continue
                own = told.answer_id == sent.request_id
                if not (own and told.whole and told.answer_digest == sent.digest):
                    kind = ViolationKind.WRONG_ANSWER
                    found.append(_violation(kind, identity, sent.attempt))
        return found

    def late_keys(self) -> list[Violation]:
        """Runs later than the bound after every key of their id was withdrawn."""
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
