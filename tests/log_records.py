"""Log records of this project, collected while a test runs."""

import contextlib
import logging

__all__ = ["collected_records"]


class _RecordCollector(logging.Handler):
    def __init__(self):
        super().__init__()
        self.records = []

    def emit(self, record):
        self.records.append(record)


@contextlib.contextmanager
def collected_records():
    """Yield a list that receives the records of level info and above."""
    handler, logger = _RecordCollector(), logging.getLogger("damaskramp")
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    try:
        yield handler.records
    finally:
        logger.removeHandler(handler)
