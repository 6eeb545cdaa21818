"""Versioned, signed configuration bundles."""

from damaskramp.bundle.diff import Change, diff_bundles
from damaskramp.bundle.keys import key_digest
from damaskramp.bundle.model import (
    Bundle,
    BundleHead,
    Key,
    Objective,
    Route,
    Service,
    Team,
)
from damaskramp.bundle.routes import RouteTable
from damaskramp.bundle.signed import (
    SignedBundle,
    SigningKey,
    sign_bundle,
    verify_bundle,
    verify_signed,
)
from damaskramp.bundle.source import load_bundle_source, parse_bundle_source
from damaskramp.bundle.store import Adoption, BundleStore
from damaskramp.bundle.view import BundleView

__all__ = [
    "Adoption",
    "Bundle",
    "BundleHead",
    "BundleStore",
    "BundleView",
    "Change",
    "Key",
    "Objective",
    "Route",
    "RouteTable",
    "Service",
    "SignedBundle",
    "SigningKey",
    "Team",
    "diff_bundles",
    "key_digest",
    "load_bundle_source",
    "parse_bundle_source",
    "sign_bundle",
    "verify_bundle",
    "verify_signed",
]
