"""Home regions of routes and teams."""

from damaskramp.fleet.model import RegionName
from damaskramp.platform.fields import Fields, shorten

__all__ = ["read_home_regions"]


def read_home_regions(fields: Fields) -> frozenset[RegionName] | None:
    """Read the regions that may run requests; None if none of them can be read.

    An empty set allows all regions. Where some names can't be read, only the others are
    allowed, as a request must not reach a region that was not meant.
    """
    published = fields.raw("allowed-regions")
    if published is None or published == []:
        return frozenset()
    names = published if isinstance(published, list) else []
    regions = [name for name in names if isinstance(name, str) and name]
    if not regions:
        fields.error(
            "allowed-regions", f"{shorten(published)} is not a list of regions"
        )
        return None
    if len(regions) < len(names):
        fields.warning("allowed-regions", "only the readable regions are allowed")
    return frozenset(RegionName(name) for name in regions)
