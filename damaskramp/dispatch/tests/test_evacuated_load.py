"""Load of the other zones while one is evacuated."""

import statistics

from testtools import TestCase

from benchmarks.placement_choosers import SelectorChooser
from benchmarks.placement_model import PlacementModel
from benchmarks.placement_settings import ModelSettings
from damaskramp.dispatch import Eligibility, RegionSettings
from damaskramp.dispatch.selection import ServerSelector
from damaskramp.dispatch.selection_settings import SelectionSettings
from damaskramp.fleet import (
    Evacuations,
    EvacuationStatement,
    EvacuationTerms,
    StorePosition,
)


class FilteringChooser(SelectorChooser):
    """Selection of an entry host that knows the evacuations."""

    def __init__(self, zone, random_source, evacuations, clock):
        super().__init__(ServerSelector(SelectionSettings(), zone, random_source))
        self._eligibility = Eligibility(RegionSettings(), zone, evacuations, clock)

    def choose(self, servers, excluded, kind, now):
        servers = self._eligibility.select(servers, ())
        return super().choose(servers, excluded, kind, now)


class TestEvacuatedLoad(TestCase):
    """Three zones at 0.8 of their capacity, one of which is evacuated after 2 s.

    The two others are then asked for 1.2 times what they can run.
    """

    EVACUATED_AT, END = 2.0, 6.0

    def play(self):
        model = None
        evacuations = Evacuations(EvacuationTerms(), lambda: model.now)
        settings = ModelSettings(load=0.8, noise_share=0.0, wave=0.0)
        model = PlacementModel(
            settings,
            lambda zone, source: FilteringChooser(
                zone, source, evacuations, lambda: model.now
            ),
        )
        statement = EvacuationStatement("z0", True, 5, 1)

        def evacuate():
            model.result.asked.clear()
            model.result.in_time.clear()
            model.result.refused_after.clear()
            evacuations.apply_snapshot([statement], StorePosition(1, 5))

        model.after(self.EVACUATED_AT, evacuate)
        return model.play(self.END)

    def test_load_is_shed_by_priority_and_early(self):
        result = self.play()
        self.assertLessEqual(result.last_arrival["z0"], self.EVACUATED_AT + 2 * 0.0054)
        # Calls and the more important requests keep what they had.
        self.assertGreater(result.goodput("lookup"), 0.95)
        self.assertGreater(result.goodput("order"), 0.9)
        refused = result.refused_after["list"]
        self.assertLess(result.goodput("list"), result.goodput("order"))
        self.assertLess(statistics.median(refused), 0.1)
