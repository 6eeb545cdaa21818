"""Settings of a node, and validation of TOML documents against models."""

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
