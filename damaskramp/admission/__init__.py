"""Which calls a backend server takes on, and which it sheds."""

from damaskramp.admission.admission import (
    AdmissionController,
    Demand,
    FixedAdmission,
    Load,
    Permit,
    Refusal,
    Sample,
)

__all__ = [
    "AdmissionController",
    "Demand",
    "FixedAdmission",
    "Load",
    "Permit",
    "Refusal",
    "Sample",
]
