"""The bundle of the fake fleet: one service, two teams, two routes."""

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
    """Bundle in force from `bundle_text`."""
    text = bundle_text(retention, first_start, issued)
    return BundleView(sign_bundle(parse_bundle_source(text, "test").ok, SIGNER))


def bundle_text(retention: float, first_start: bool, issued: float) -> str:
    """Bundle with one service, two teams and an idempotent and another route."""
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
