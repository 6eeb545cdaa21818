"""Status page of a relay node for operators, in the format of the product's nodes."""

import hashlib

import orjson

from damaskramp.fleet import EvacuationChange
from damaskramp.relay.execution import Executor
from damaskramp.relay.fleet_view import FleetView
from damaskramp.relay.peers import Peers

__all__ = ["NO_OBJECTIVES", "status_page"]

NO_OBJECTIVES = b"a relay node keeps no windows of objectives: read its /metrics\n"
"""Answer to requests for service-level objectives."""

MAX_SHOWN_FINDINGS = 100
"""Most findings of the configuration on the page."""


def status_page(
    fleet_view: FleetView, executor: Executor, peers: Peers, state: str
) -> bytes:
    """Build the JSON document that ``damaskramp-status`` reads."""
    load = executor.load
    configuration = fleet_view.configuration
    bundle, findings = None, ()
    if configuration is not None:
        digest = hashlib.sha256(configuration.document).hexdigest()
        findings = configuration.findings[:MAX_SHOWN_FINDINGS]
        bundle = {"version": configuration.version, "digest": digest}
    members = [
        {"host": host, "zone": zone, "state": peers.hosts.state_of(host)}
        for host, zone in fleet_view.directory.hosts()
    ]
    page = {
        "host": fleet_view.host,
        "zone": fleet_view.zone,
        "state": state,
        "bundle": bundle,
        "findings": [str(finding) for finding in findings],
        "belief_age_seconds": round(fleet_view.freshness.age, 3)
        if configuration is not None
        else None,
        "members": members,
        "backend": {
            "service": fleet_view.service,
            "running": load.running,
            "waiting": load.waiting,
            "limit": load.limit,
            "warmup": executor.warmup.status(),
        },
    }
    evacuations = fleet_view.evacuations
    if evacuations is not None:
        page["evacuations"] = [_evacuation_entry(one) for one in evacuations.in_force]
    return orjson.dumps(page)


def _evacuation_entry(found: EvacuationChange) -> dict[str, object]:
    zone, _, revision, epoch = found.statement
    return {
        "zone": zone,
        "age_seconds": round(found.seconds, 3),
        "source": found.source.value,
        "epoch": epoch,
        "revision": revision,
    }
