"""Test case whose coroutines run on a loop of their own."""

import asyncio
from collections.abc import Coroutine
from typing import TypeVar

import testtools

__all__ = ["LoopTestCase"]

T = TypeVar("T")


class LoopTestCase(testtools.TestCase):
    """Test case with a fresh loop for each coroutine."""

    def run_loop(self, coroutine: Coroutine[object, object, T]) -> T:
        """Run a coroutine to its end."""
        return asyncio.run(coroutine)
