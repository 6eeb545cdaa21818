"""Distribution: changed bundle sections propagate down the tree of a zone."""

from datetime import UTC, datetime

from damaskramp.bundle import (
    Bundle,
    SignedBundle,
    SigningKey,
    sign_bundle,
    verify_signed,
)
from damaskramp.core import HostId, ServiceName, ZoneName
from damaskramp.distribution import (
    BundleDelta,
    HeldSections,
    WatchTree,
    apply_bundle_delta,
)
from damaskramp.membership import Member

ZONE = ZoneName("perth-north")
NODES = 175
KEY = SigningKey(bytes(32))


def _signed(version: int, rate: float) -> SignedBundle:
    head = {
        "version": version,
        "issued": datetime(2026, 1, version, tzinfo=UTC),
        "zones": [ZONE],
        "classes": ["reads"],
    }
    teams = [{"name": "clubs", "rate": rate, "burst": 10}]
    return sign_bundle(Bundle.model_validate({"bundle": head, "teams": teams}), KEY)


def main() -> str:
    """Propagate version 2 from the readers to all nodes that hold version 1."""
    service = ServiceName("desk")
    hosts = [HostId(f"desk-{number}") for number in range(NODES)]
    members = [Member(host, ZONE, f"{host}:1", service) for host in hosts]
    trees = {host: WatchTree(host, members) for host in hosts}
    old, new = _signed(1, rate=100.0), _signed(2, rate=200.0)
    held = {h: new if tree.is_reader else old for h, tree in trees.items()}
    readers = sum(tree.is_reader for tree in trees.values())
    moved, steps = set(), 0
    while any(signed.version < 2 for signed in held.values()):
        steps += 1
        before = dict(held)
        for host, tree in trees.items():
            if tree.is_reader:
                continue
            bundle_delta = BundleDelta.pack(
                before[tree.parent.host], HeldSections.of(held[host])
            )
            if bundle_delta is not None:
                whole = apply_bundle_delta(bundle_delta, held[host])
                held[host] = verify_signed(whole, (KEY.public_hex,), "parent").ok
                moved |= bundle_delta.sections.keys()
    names = ", ".join(sorted(moved))
    return f"{readers} readers, {NODES} nodes in {steps} steps, sections: {names}"


if __name__ == "__main__":
    print(main())
