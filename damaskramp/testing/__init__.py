"""Test support for this project and for programs that embed its packages."""

from damaskramp.testing.cases import LoopTestCase

__all__ = ["LoopTestCase"]
