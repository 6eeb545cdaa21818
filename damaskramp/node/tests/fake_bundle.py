"""Bundle of the fake fleet, with one service, two teams and two routes."""

import hashlib
from datetime import UTC, datetime

from damaskramp.bundle import (
    BundleView,
    SigningKey,
    parse_bundle_source,
    sign_bundle,
)

__all__ = ["KEYS", "ZONES", "bundle_text", "bundle_view"]

ZONES = ("north", "south")
KEYS = {"clubs": b"key-clubs", "schools": b"key-schools"}
SIGNER = SigningKey(bytes(range(32)))


def bundle_view(
    retention: float = 8.0, first_start: bool = False, issued: float = 0.0
) -> BundleView:
    """View of the signed bundle of `bundle_text`."""
    text = bundle_text(retention, first_start, issued)
    return BundleView(sign_bundle(parse_bundle_source(text, "test").ok, SIGNER))


def bundle_text(retention: float, first_start: bool, issued: float) -> str:
    """Source of a bundle with a non-idempotent and an idempotent route.

    Parameters
    ----------
    retention : float
        Repeat window in seconds.
    first_start : bool
        Whether the bundle declares the first start of the fleet.
    issued : float
        Issue time in seconds since the epoch.
    """
    teams = "".join(
        f'[[teams]]\nname = "{team}"\nrate = 100000.0\nburst = 100000\n'
        f'[[keys]]\nteam = "{team}"\n'
        f'digest = "{hashlib.sha256(key).hexdigest()}"\n'
        for team, key in KEYS.items()
    )
    routes = "".join(
        f'[[routes]]\nservice = "slots"\nprefix = "{prefix}"\npriority = "all"\n'
        f"idempotent = {idempotent}\ntimeout_seconds = 1.0\n"
        for prefix, idempotent in (("/book", "false"), ("/read", "true"))
    )
    moment = datetime.fromtimestamp(issued, UTC).isoformat()
    return f"""\
[bundle]
version = 1
issued = {moment}
zones = {list(ZONES)!r}
classes = ["all"]
repeat_window_seconds = {retention}
first_start = {str(first_start).lower()}
{teams}
[[services]]
name = "slots"
slots = 16
connections = 64
backend_servers = 6
shed_means_not_run = true
{routes}"""
