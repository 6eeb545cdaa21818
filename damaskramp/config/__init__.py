"""TOML input checked as a whole, and the settings of the node."""

from damaskramp.config.settings import (
    Address,
    AdmissionSettings,
    BackendSettings,
    BalancingSettings,
    DedupSettings,
    LimitSettings,
    ListenSettings,
    NodeSettings,
    PlatformSettings,
    QuarantineSettings,
    RetrySettings,
    Settings,
)
from damaskramp.config.toml_input import load_toml, parse_toml

__all__ = [
    "Address",
    "AdmissionSettings",
    "BackendSettings",
    "BalancingSettings",
    "DedupSettings",
    "LimitSettings",
    "ListenSettings",
    "NodeSettings",
    "PlatformSettings",
    "QuarantineSettings",
    "RetrySettings",
    "Settings",
    "load_toml",
    "parse_toml",
]
