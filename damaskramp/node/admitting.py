"""Admission control of a node, built from its settings and the bundle."""

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
    """Build the admission controller of the configured mode."""
    admission_settings = settings.admission
    if admission_settings.mode == "none":
        return UnlimitedAdmission()
    if admission_settings.mode == "fixed":
        return FixedAdmission(admission_settings.fixed_limit)
    return AdaptiveAdmission(
        admission_settings,
        timers,
        ProbingLimiter(admission_settings.minimum_limit, DEFAULT_SLOTS),
        DEFAULT_SLOTS,
        np.random.default_rng(seed),
        events,
    )


def configure_admission(
    settings: NodeSettings, view: BundleView, admission: AdmissionController
) -> None:
    """Apply a bundle to the admission controller.

    The previous slots stay in force if the bundle lacks the service.
    """
    backend = settings.backend
    service = view.service(ServiceName(backend.service)) if backend else None
    if service is None:
        return
    contents = view.contents
    weights = {TeamId(team.name): team.weight for team in contents.teams}
    admission.configure(service.slots, weights, len(contents.bundle.classes))
