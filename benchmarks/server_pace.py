"""Choice of servers by their current capability, on a virtual clock.

The selection of this checkout is compared with that of an earlier commit, whose modules
are read from git. Servers differ threefold in speed, noisy neighbours slow their hosts,
and demand moves between three zones::

    python -m benchmarks.server_pace --seconds=6 --seeds=2
"""

import argparse
import importlib.util
import random
import subprocess
import sys
import types
from collections.abc import Callable

from benchmarks.placement_choosers import Chooser, SelectorChooser
from benchmarks.placement_model import PlacementModel
from benchmarks.placement_server import Attempt, ServerNode
from benchmarks.placement_settings import Kind, ModelSettings
from damaskramp.dispatch.load import Load
from damaskramp.dispatch.load_exchange import ExchangeSettings, LoadExchange
from damaskramp.dispatch.selection import ServerSelector
from damaskramp.dispatch.selection_settings import SelectionSettings
from damaskramp.dispatch.server_pace import ServerPace, ServerPaceSettings
from damaskramp.fleet import BackendServer

__all__ = ["CurrentChooser", "earlier_selection", "main", "make_model"]

START_COMMIT = "c1a9e36"
"""Commit whose selection is compared by default: the one before this part."""

STATED_SPREAD = 0.1
"""Relative spread of single statements of the pace, which change often."""


class CurrentChooser(SelectorChooser):
    """Selection of this checkout, with the loads that hosts tell each other."""

    def __init__(
        self, settings: ModelSettings, zone: str, source: random.Random, servers_of
    ) -> None:
        selector = ServerSelector(
            SelectionSettings(),
            zone,
            source,
            round_trip=lambda other: 2 * settings.link_seconds(zone, other),
        )
        super().__init__(selector)
        self._loads = LoadExchange(ExchangeSettings(), servers_of, source)
        self._servers_of = servers_of

    def choose(self, servers, excluded, kind, now):
        """Choose a server; None if none may be asked now."""
        return self._selector.choose(servers, excluded, kind.rank, now, kind=kind.name)

    def ended(self, server, kind, failed, node, now):
        """Record the end of a request with the state of the server's node."""
        self._selector.record_end(server, failed)
        load = node.extra.load_for(node, kind, now)
        self._selector.record_load(server, load, now, kind.rank, kind.name)
        self._loads.record_answer(server, load, now)

    def exchange(self, other, now):
        """Take what another host knows, as in the answer to a ping."""
        told = other._loads.collect(self._loads.services(now), now)
        servers = {server.id: server for server in self._servers_of("svc")}
        for load in self._loads.record_told(told):
            self._selector.record_told_load(servers[load.server], load)


class PaceNode:
    """What a server's node keeps of the server's pace."""

    def __init__(self, node: ServerNode) -> None:
        self._random = random.Random(node.description.id)
        self.pace = ServerPace(ServerPaceSettings())

    def state(self, node: ServerNode) -> None:
        """Take the statement of an answer."""
        if node.model.settings.states_pace:
            factor = self._random.gauss(1.0, STATED_SPREAD)
            self.pace.record_stated(node.pace * max(0.5, factor), node.model.now)

    def load_for(self, node: ServerNode, kind: Kind, now: float) -> Load:
        """Load as it rides back with an answer to a kind."""
        return node.queue.load_with_pace(
            self.pace, kind.name, kind.is_call, kind.priority, now
        )


def make_model(
    settings: ModelSettings,
    make_chooser: Callable[[str, random.Random], Chooser] | None = None,
    seed: int = 1,
) -> PlacementModel:
    """Make a model with nodes that keep the pace; by default with this selection."""
    model = None

    def servers_of(service: str) -> list[BackendServer]:
        return model.servers

    model = PlacementModel(
        settings,
        make_chooser or (lambda zone, r: CurrentChooser(settings, zone, r, servers_of)),
        PaceNode,
        seed,
    )

    def on_run(node: ServerNode, attempt: Attempt) -> None:
        node.extra.state(node)
        node.extra.pace.record_run(attempt.kind, model.now - attempt.started, model.now)

    def on_sweep(node: ServerNode) -> None:
        change = node.extra.pace.change(model.now)
        for work in node.queue.release_waiting(model.now, change):
            work.refuse()

    model.on_run = on_run
    if make_chooser is None:
        model.on_sweep = on_sweep
    return model


def earlier_selection(commit: str) -> types.ModuleType:
    """Load the selection of a commit from git."""
    source = subprocess.run(
        ["git", "show", f"{commit}:damaskramp/dispatch/selection.py"],
        capture_output=True,
        text=True,
        check=True,
    ).stdout
    spec = importlib.util.spec_from_loader("earlier_selection", loader=None)
    module = importlib.util.module_from_spec(spec)
    sys.modules[spec.name] = module
    exec(compile(source, f"{commit}:selection.py", "exec"), module.__dict__)
    return module


SCENES = {
    "noisy, load 0.5": ModelSettings(load=0.5),
    "noisy, load 0.65": ModelSettings(load=0.65),
    "noisy, load 0.8": ModelSettings(load=0.8),
    "quiet, load 0.65": ModelSettings(load=0.65, noise_share=0.0),
    "no waves, load 0.65": ModelSettings(load=0.65, wave=0.0),
    "no pace stated, load 0.65": ModelSettings(load=0.65, states_pace=False),
}


def main() -> None:
    """Print the comparison."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--commit", default=START_COMMIT)
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--seeds", type=int, default=2)
    flags = parser.parse_args()
    module = earlier_selection(flags.commit)

    def make_earlier(zone: str, source: random.Random) -> Chooser:
        settings = module.SelectionSettings()
        return SelectorChooser(module.ServerSelector(settings, zone, source))

    columns = (
        "lookup mean, p99 (ms) | order mean, p99 (ms) | in time: lookup order list"
    )
    print(f"scene | selection | {columns} | left zone | messages")
    for scene, settings in SCENES.items():
        for name, make in (
            (flags.commit, make_earlier),
            ("this checkout", None),
        ):
            results = [
                make_model(settings, make, seed).play(flags.seconds)
                for seed in range(1, flags.seeds + 1)
            ]
            print(scene, name, *_figures(results), sep=" | ", flush=True)


def _figures(results) -> list[str]:
    def mean(value) -> float:
        return sum(value(result) for result in results) / len(results)

    def times(kind: str) -> str:
        found = (
            mean(lambda r: r.mean_time(kind)),
            mean(lambda r: r.time(kind, 99)),
        )
        return ", ".join(f"{1000 * seconds:.1f}" for seconds in found)

    shares = [mean(lambda r, k=k: r.goodput(k)) for k in ("lookup", "order", "list")]
    asked = mean(lambda r: sum(r.asked.values()))
    return [
        times("lookup"),
        times("order"),
        " ".join(f"{share:.4f}" for share in shares),
        f"{mean(lambda r: r.left_zone) / asked:.3f}",
        f"{mean(lambda r: r.messages) / asked:.3f}",
    ]


if __name__ == "__main__":
    main()
