"""Test case that runs coroutines."""

import asyncio
from collections.abc import Coroutine
from typing import TypeVar

import testtools

__all__ = ["LoopTestCase"]

T = TypeVar("T")


class LoopTestCase(testtools.TestCase):
    """Test case that runs each coroutine on a new event loop."""

    def run_loop(self, coroutine: Coroutine[object, object, T]) -> T:
        """Run a coroutine and return its result."""
        return asyncio.run(coroutine)
