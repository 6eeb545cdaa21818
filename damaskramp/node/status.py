"""State of a node as ``damaskramp-status`` reads it."""

from damaskramp.bundle import BundleView
from damaskramp.membership import Member
from damaskramp.node.call_path import CallPath
from damaskramp.node.control import ControlPlane
from damaskramp.node.runtime import Runtime
from damaskramp.quarantine import QuarantineStatus

__all__ = ["status_document"]


def status_document(runtime: Runtime, control: ControlPlane, path: CallPath) -> dict:
    """Build the JSON document with the state of the node."""
    view = runtime.bundle.value
    in_force_at = control.bundles.in_force_at
    return {
        "host": runtime.host,
        "zone": runtime.zone,
        "incarnation": control.ownership.own.incarnation,
        "ownership_active": control.ownership.active,
        "periods": control.gossip.protocol.periods,
        "state": runtime.lifecycle.value.value,
        "bundle": None if view is None else _bundle(view, in_force_at),
        "quota": control.quota.status(),
        "members": [_member(member) for member in runtime.members.value],
        "backend": _backend(runtime, path),
        "quarantine": {
            "suspects": path.quarantine.count(QuarantineStatus.SUSPECT),
            "quarantined": path.quarantine.count(QuarantineStatus.QUARANTINED),
        },
        "ejected": sorted(path.balancer.ejected),
        "dedup": {
            "claims": len(path.home.claims),
            "copies": len(path.home.copies),
            "answer_bytes": path.home.claims.answer_bytes,
            "executions": len(path.ledger),
        },
    }


def _bundle(view: BundleView, in_force_at: float) -> dict:
    return {
        "version": view.version,
        "digest": view.signed.digest,
        "withdrawn_keys": len(view.withdrawn),
        "in_force_at": in_force_at,
    }


def _backend(runtime: Runtime, path: CallPath) -> dict:
    load = path.admission.load
    backend = runtime.settings.backend
    return {
        "service": backend.service if backend else None,
        "running": load.in_flight,
        "limit": load.limit,
        "queued": load.queued,
    }


def _member(member: Member) -> dict:
    return {
        "host": member.host,
        "zone": member.zone,
        "service": member.service,
        "state": member.state.value,
        "incarnation": member.incarnation,
    }
