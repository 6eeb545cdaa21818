"""Settings of pytest for the whole repository."""

import asyncio
import weakref

import pytest
from hypothesis import settings

# The time limit for one example (200 ms) failed tests on a busy machine.
settings.register_profile("damaskramp", settings(), deadline=None)
settings.load_profile("damaskramp")


@pytest.fixture(autouse=True)
def closed_streams(monkeypatch):
    """Fail a test that leaves a stream open when its event loop has closed.

    The finalizer of such a stream raises an exception or issues a warning, depending on
    the version of Python, and at a time that depends on the garbage collector.
    """
    writers = weakref.WeakSet()
    initialize = asyncio.StreamWriter.__init__

    def record(self, transport, protocol, reader, loop):
        initialize(self, transport, protocol, reader, loop)
        writers.add(self)

    monkeypatch.setattr(asyncio.StreamWriter, "__init__", record)
    yield
    left = [one.transport for one in writers if not one.transport.is_closing()]
    assert not left, f"streams left open: {left}"
