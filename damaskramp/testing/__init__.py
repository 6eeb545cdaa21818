"""Test support for this project and for programs that embed its packages."""

from damaskramp.testing.cases import LoopTestCase
from damaskramp.testing.streams import StreamServer

__all__ = ["LoopTestCase", "StreamServer"]
