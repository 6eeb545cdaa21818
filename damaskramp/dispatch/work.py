"""Requests in the queue of a backend server."""

__all__ = ["Work"]


class Work:
    """One request offered to a backend server.

    Attributes
    ----------
    kind : str
        Name under which service times are averaged.
    is_call : bool
        Whether a running request made this request.
    priority : int
        Rank of the request, or for a call with a known root the rank of that root; 0 is
        the most important.
    target : float
        Clock time in seconds until which the answer has its full value.
    deadline : float
        Clock time in seconds after which nobody waits for the answer.
    order : float
        Clock time in seconds by which requests of equal priority are ordered. It is the
        latency target, or for a call with a known root the deadline of that root.
    chain_known : bool
        Whether the calls that such requests make are known, so that their admission
        follows the pressure on these instead of their outcomes.
    team : str
        Team among which the time of the slots is shared; empty if unknown.
    fail_fast : bool
        Whether the request is refused if it would wait longer than its run is expected
        to take, because other servers may have room.
    reached : bool
        Whether the server may have accepted the request, once it was started.
    """

    __slots__ = (
        "chain_known",
        "cost",
        "deadline",
        "enqueued",
        "fail_fast",
        "is_call",
        "kind",
        "order",
        "priority",
        "reached",
        "started",
        "state",
        "target",
        "team",
    )

    def __init__(
        self, kind: str, is_call: bool, priority: int, target: float, deadline: float
    ) -> None:
        self.kind = kind
        self.is_call = is_call
        self.priority = priority
        self.target = target
        self.order = target
        self.deadline = deadline
        self.chain_known = False
        self.team = ""
        self.fail_fast = False
        self.reached = True
        self.cost = 0.0
        self.enqueued = 0.0
        self.started = 0.0
        self.state = "new"
