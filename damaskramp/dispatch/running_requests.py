"""Requests that run at one backend server, and inference of which made a call.

A call carries no reference to the request that made it. But it expires with that
request at the latest, and the node beside the server knows the deadline that it handed
to each running request. A call whose deadline equals that of exactly one running
request was made by it, and inherits its rank, team, root deadline and whether it is a
repeat. From there on these properties travel with the call between nodes.

A call with a limit of its own states a deadline that says nothing; `StatedTimes`
recognises such limits.

Examples
--------
>>> running = RunningRequests()
>>> posting = running.start("postings", 12.5, Lineage(0, "clubs", 12.5), 2.0)
>>> lookup = running.start("lookups", 12.9, Lineage(2, "guests", 12.9), 2.4)
>>> inferred = running.infer("entries", 12.5012, 1900)
>>> inferred.confidence.value, inferred.lineage.rank
('sure', 0)
>>> inferred = running.infer("entries", 11.7, 700)
>>> inferred.confidence.value, inferred.lineage.rank == UNKNOWN_RANK
('none', True)
>>> running.end(posting)
>>> inferred = running.infer("entries", 11.8, 700)
>>> inferred.confidence.value, inferred.lineage.rank
('agreed', 2)
"""

from bisect import bisect_left, bisect_right
from collections import Counter

from damaskramp.dispatch.lineage import (
    NO_INFERENCE,
    UNKNOWN_LINEAGE,
    UNKNOWN_RANK,
    Confidence,
    Inference,
    Lineage,
    common_lineage,
)
from damaskramp.dispatch.stated_times import StatedTimes

__all__ = ["RunningRequests", "StartedRequest"]

MATCH_EARLY_SECONDS = 0.002
"""Time by which a call's deadline may be earlier than the one handed to its parent.
Both the node and the server round remaining times down to milliseconds."""

MATCH_LATE_SECONDS = 0.009
"""Time by which a call's deadline may be later than the one handed to its parent. It
counts from when the call arrives, so it includes the ways to the server and back. All
matches of recorded calls were within 9 ms, nearly all of them within 2 ms."""

NEAR_SECONDS = 0.0025
"""Lateness up to which a match is near. With several matches, a single near one is
taken if hardly any sure match is farther."""

MAX_FAR_SHARE = 0.005
"""Share of the sure matches that are not near up to which a single near one is taken
for sure."""

FAR_SMOOTHING = 0.002
"""Weight of the newest sure match in the moving average of the share of far ones, which
covers about the last five hundred."""

MIN_MATCHES_TO_EXCLUDE = 20
"""Number of sure matches of a route's calls from which some kinds of requests can be
ruled out as their makers."""

MIN_RUNS_TO_EXCLUDE = 200
"""Number of runs without a sure match after which a kind of requests is ruled out. If
one call in twenty matches, a kind that makes such calls shows in about ten of them."""

MAX_MATCHES = 4000
"""Number of sure matches of one kind at which all counts are halved."""


class StartedRequest:
    """Request that runs at the backend server.

    Attributes
    ----------
    kind : str
        Name of the request's route.
    deadline : float
        Clock time in seconds of the deadline that was handed to the server.
    lineage : Lineage
        Properties that the calls of the request inherit.
    """

    __slots__ = ("deadline", "kind", "lineage")

    def __init__(self, kind: str, deadline: float, lineage: Lineage) -> None:
        self.kind = kind
        self.deadline = deadline
        self.lineage = lineage


class RunningRequests:
    """Requests that run at one backend server, searched by the deadline handed over."""

    def __init__(self) -> None:
        self._deadlines: list[float] = []
        self._requests: list[StartedRequest] = []
        self._roots: dict[str, dict[tuple[int, str], int]] = {}
        self._stated_times = StatedTimes()
        self._makers: dict[str, Counter[str]] = {}
        self._runs: Counter[str] = Counter()
        self._longest: dict[str, float] = {}
        self._far_share = 2 * MAX_FAR_SHARE

    def __len__(self) -> int:
        return len(self._requests)

    def start(
        self, kind: str, deadline: float, lineage: Lineage, remaining: float
    ) -> StartedRequest:
        """Record that a request has been sent to the server.

        Parameters
        ----------
        deadline : float
            Clock time in seconds of the deadline that was handed to the server.
        remaining : float
            Seconds until this deadline.
        """
        request = StartedRequest(kind, deadline, lineage)
        index = bisect_right(self._deadlines, deadline)
        self._deadlines.insert(index, deadline)
        self._requests.insert(index, request)
        roots = self._roots.setdefault(kind, {})
        root = (lineage.rank, lineage.team)
        roots[root] = roots.get(root, 0) + 1
        self._runs[kind] += 1
        if remaining > self._longest.get(kind, 0.0):
            self._longest[kind] = remaining
        return request

    def end(self, request: StartedRequest) -> None:
        """Record that a request no longer runs."""
        index = bisect_left(self._deadlines, request.deadline)
        while self._requests[index] is not request:
            index += 1
        del self._deadlines[index], self._requests[index]
        roots = self._roots[request.kind]
        root = (request.lineage.rank, request.lineage.team)
        roots[root] -= 1
        if not roots[root]:
            del roots[root]

    def infer(
        self, route: str, deadline: float | None, stated_ms: int | None
    ) -> Inference:
        """Infer the lineage of a call that has arrived from the server.

        Parameters
        ----------
        route : str
            Name of the call's route.
        deadline : float or None
            Clock time in seconds at which the call expires by its own statement, which
            may be later than its route allows; None if it states none.
        stated_ms : int or None
            Milliseconds that the call states.
        """
        if deadline is None:
            return self._infer_by_agreement(route)
        found = self._match(deadline)
        is_own_limit = self._stated_times.record(route, stated_ms, bool(found))
        if is_own_limit or not found:
            return self._infer_by_agreement(route)
        parent = self._single_parent(found, deadline)
        if parent is not None:
            self._record_maker(route, parent.kind)
            return Inference(parent.lineage, Confidence.SURE, parent.kind, 1)
        lineage = common_lineage([request.lineage for request in found])
        known = lineage[:3] != UNKNOWN_LINEAGE[:3]
        confidence = Confidence.AGREED if known else Confidence.NONE
        return Inference(lineage, confidence, _common_kind(found), len(found))

    def _single_parent(
        self, found: list[StartedRequest], deadline: float
    ) -> StartedRequest | None:
        if len(found) == 1:
            is_far = deadline - found[0].deadline > NEAR_SECONDS
            self._far_share += FAR_SMOOTHING * (is_far - self._far_share)
            return found[0]
        if self._far_share > MAX_FAR_SHARE:
            return None
        near = [one for one in found if deadline - one.deadline <= NEAR_SECONDS]
        return near[0] if len(near) == 1 else None

    def _record_maker(self, route: str, kind: str) -> None:
        makers = self._makers.setdefault(route, Counter())
        makers[kind] += 1
        if makers[kind] >= MAX_MATCHES:
            # Call graphs change with releases, so old counts lose their weight.
            for counts in (*self._makers.values(), self._runs):
                for name in counts:
                    counts[name] //= 2

    def _match(self, deadline: float) -> list[StartedRequest]:
        first = bisect_left(self._deadlines, deadline - MATCH_LATE_SECONDS)
        end = bisect_right(self._deadlines, deadline + MATCH_EARLY_SECONDS, lo=first)
        return self._requests[first:end]

    def _infer_by_agreement(self, route: str) -> Inference:
        """Infer what all running requests that can have made the call agree on."""
        rank, team = None, None
        for kind, roots in self._roots.items():
            if not roots or self._is_excluded(kind, route):
                continue
            for root_rank, root_team in roots:
                rank = root_rank if rank in (None, root_rank) else UNKNOWN_RANK
                team = root_team if team in (None, root_team) else ""
                if rank == UNKNOWN_RANK and not team:
                    return NO_INFERENCE
        if rank is None or (rank == UNKNOWN_RANK and not team):
            return NO_INFERENCE
        return Inference(Lineage(rank, team), Confidence.AGREED)

    def _is_excluded(self, kind: str, route: str) -> bool:
        makers = self._makers.get(route)
        if makers is None or makers[kind] or self._runs[kind] < MIN_RUNS_TO_EXCLUDE:
            return False
        # Calls of a request that has more time than they allow themselves never match.
        if 1000 * self._longest[kind] > self._stated_times.longest_ms(route):
            return False
        return sum(makers.values()) >= MIN_MATCHES_TO_EXCLUDE


def _common_kind(requests: list[StartedRequest]) -> str:
    kinds = {request.kind for request in requests}
    return kinds.pop() if len(kinds) == 1 else ""
