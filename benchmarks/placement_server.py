"""One server of `placement_model`, and the requests that are offered to it."""

from typing import TYPE_CHECKING

from benchmarks.placement_settings import Kind
from damaskramp.dispatch import (
    PlacementSettings,
    QueueDecision,
    RefusalBudget,
    SlotQueue,
    SlotSettings,
    Work,
)
from damaskramp.fleet import BackendServer

if TYPE_CHECKING:
    from benchmarks.placement_model import PlacementModel

__all__ = ["Attempt", "Request", "ServerNode"]


class ServerNode:
    """One server with its queue, its speed and its noisy neighbour."""

    def __init__(self, model: "PlacementModel", number: int, zone: str) -> None:
        settings = model.settings
        self.model = model
        self.description = BackendServer(
            f"i-{number}",
            "svc",
            f"10.0.0.{number}:80",
            zone,
            settings.slots,
            False,
            0.0,
            0,
            1,
        )
        self.queue = SlotQueue(SlotSettings(), settings.slots)
        self.speed = settings.speeds[number % len(settings.speeds)]
        self.noisy_until = 0.0
        self.extra = model.node_state(self)
        self._runs: dict[int, Attempt] = {}
        self._changed_at = 0.0
        self._version = 0
        self._rate = 1.0

    @property
    def pace(self) -> float:
        """How long work takes now, as a multiple of the usual."""
        noisy = self.model.now < self.noisy_until
        return self.model.settings.noise_factor if noisy else 1.0

    def start(self, attempt: "Attempt") -> None:
        """Run a request."""
        self._progress()
        attempt.left = attempt.request.work_seconds / self.speed
        self._runs[id(attempt)] = attempt
        self._reschedule()

    def set_noise(self, until: float) -> None:
        """Begin or end a noisy time."""
        self._progress()
        self.noisy_until = until
        self._reschedule()

    def _progress(self) -> None:
        passed = (self.model.now - self._changed_at) / self._rate
        for attempt in self._runs.values():
            attempt.left -= passed
        self._changed_at = self.model.now

    def _reschedule(self) -> None:
        self._rate = self.pace
        self._version += 1
        if not self._runs:
            return
        first = min(self._runs.values(), key=lambda attempt: attempt.left)
        version = self._version
        self.model.after(
            max(0.0, first.left) * self._rate, lambda: self._end(first, version)
        )

    def _end(self, attempt: "Attempt", version: int) -> None:
        if version != self._version:
            return
        self._progress()
        del self._runs[id(attempt)]
        self._reschedule()
        self.queue.finish(attempt, self.model.now, True)
        self.model.on_run(self, attempt)
        attempt.answer()
        self.start_waiting()

    def start_waiting(self) -> None:
        """Start waiting requests while there is room."""
        for work in self.queue.next_runs(self.model.now):
            self.start(work)


class Attempt(Work):
    """One request offered to one server, with a queue entry of its own."""

    __slots__ = ("left", "request", "server")

    def __init__(self, request: "Request", server: BackendServer) -> None:
        kind = request.kind
        super().__init__(
            kind.name,
            kind.is_call,
            kind.priority,
            request.began + kind.target,
            request.began + kind.deadline,
        )
        self.request = request
        self.server = server
        self.left = 0.0

    def arrive(self) -> None:
        """Arrive at the server's node."""
        model = self.request.model
        node = model.nodes[self.server.id]
        model.result.arrived(node.description.zone, model.now)
        decision = node.queue.offer(self, model.now)
        if decision is QueueDecision.RUN:
            node.start(self)
        elif decision is QueueDecision.REFUSE:
            self.refuse()

    def refuse(self) -> None:
        """Tell the entry host that the server has not run the request."""
        model = self.request.model
        model.after(model.link(self), lambda: self.request.refused(self))

    def answer(self) -> None:
        """Send the answer to the entry host."""
        model = self.request.model
        model.after(model.link(self), lambda: self.request.answered(self))


class Request:
    """One request at its entry host."""

    def __init__(self, model: "PlacementModel", kind: Kind, entry: int) -> None:
        self.model = model
        self.kind = kind
        self.entry = entry
        self.zone = model.entry_zones[entry]
        self.began = model.now
        self.budget = RefusalBudget(PlacementSettings(), len(model.nodes), kind.is_call)
        self.asked: set[str] = set()
        self.work_seconds = model.draw(kind)

    def send(self) -> None:
        """Choose a server and send the request."""
        model = self.model
        chooser = model.choosers[self.entry]
        found = chooser.choose(model.servers, self.asked, self.kind, model.now)
        if found is None:
            self.give_up()
            return
        self.asked.add(found.id)
        model.result.messages += 1
        model.result.left_zone += found.zone != self.zone
        chooser.sent(found, self.kind)
        others = len(model.servers) - len(self.asked)
        attempt = Attempt(self, found)
        attempt.fail_fast = self.budget.should_fail_fast(others)
        model.after(model.link(attempt), attempt.arrive)

    def refused(self, attempt: Attempt) -> None:
        """Handle a refusal; send to another server or fail."""
        model = self.model
        chooser = model.choosers[self.entry]
        node = model.nodes[attempt.server.id]
        chooser.ended(attempt.server, self.kind, None, node, model.now)
        if not attempt.fail_fast:
            chooser.refused(attempt.server, self.kind, model.now)
        self.budget.record_refusal()
        if self.budget.has_remaining() and model.now < attempt.deadline:
            self.send()
        else:
            self.give_up()

    def give_up(self) -> None:
        """Fail because no server accepted the request."""
        self.model.result.refused_after.setdefault(self.kind.name, []).append(
            self.model.now - self.began
        )

    def answered(self, attempt: Attempt) -> None:
        """Take the answer at the entry host."""
        model, name = self.model, self.kind.name
        node = model.nodes[attempt.server.id]
        model.choosers[self.entry].ended(
            attempt.server, self.kind, False, node, model.now
        )
        model.result.took.setdefault(name, []).append(model.now - self.began)
        model.result.in_time[name] = model.result.in_time.get(name, 0) + (
            model.now <= attempt.target
        )
