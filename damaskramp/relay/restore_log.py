"""Log line on a store that was restored from a copy."""

import logging

from damaskramp.fleet import StorePosition

__all__ = ["log_restore"]


def log_restore(
    logger: logging.Logger, message: str, now: StorePosition, before: StorePosition
) -> None:
    """Log the positions in the store before and after its restore."""
    logger.info(
        message,
        extra={
            "epoch": now.epoch,
            "revision": now.revision,
            "previous_epoch": before.epoch,
            "previous_revision": before.revision,
        },
    )
