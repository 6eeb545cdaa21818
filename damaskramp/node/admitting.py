"""Admission of a node, built from settings and kept to the bundle."""

import numpy as np

from damaskramp.admission import (
    AdaptiveAdmission,
    AdmissionController,
    AdmissionEvents,
    FixedAdmission,
    ProbingLimiter,
    UnlimitedAdmission,
)
from damaskramp.bundle import BundleView
from damaskramp.config import NodeSettings
from damaskramp.core import ServiceName, TeamId, TimerService

__all__ = ["build_admission", "configure_admission"]

DEFAULT_SLOTS = 64


def build_admission(
    settings: NodeSettings,
    timers: TimerService,
    seed: np.random.SeedSequence,
    events: AdmissionEvents,
) -> AdmissionController:
    """Admission of the configured mode."""
    chosen = settings.admission
    if chosen.mode == "none":
        return UnlimitedAdmission()
    if chosen.mode == "fixed":
        return FixedAdmission(chosen.fixed_limit)
    return AdaptiveAdmission(
        chosen,
        timers,
        ProbingLimiter(chosen.minimum_limit, DEFAULT_SLOTS),
        DEFAULT_SLOTS,
        np.random.default_rng(seed),
        events,
    )


def configure_admission(
    settings: NodeSettings, view: BundleView, admission: AdmissionController
) -> None:
    """Follow a bundle; the former slots stay where it lacks the service."""
    backend = settings.backend
    service = view.service(ServiceName(backend.service)) if backend else None
    if service is None:
        return
    contents = view.contents
    weights = {TeamId(team.name): team.weight for team in contents.teams}
    admission.configure(service.slots, weights, len(contents.bundle.classes))
