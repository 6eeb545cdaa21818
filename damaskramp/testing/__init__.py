"""Support for tests, here and in programs that embed the parts."""

from damaskramp.testing.cases import LoopTestCase

__all__ = ["LoopTestCase"]
