"""Start of a node whose addresses are in use."""

import asyncio
import os
import socket

from damaskramp.core import Counters
from damaskramp.platform import PLATFORM_HEADERS, READINESS_PATH
from damaskramp.relay.node import RelayNode
from damaskramp.relay.settings import RelaySettings
from damaskramp.testing import LoopTestCase

NETWORK = int(os.environ.get("DAMASKRAMP_TEST_NETWORK", "77"))
HOST = f"127.{NETWORK}.251.1"
SETTINGS = RelaySettings(
    host="h",
    zone="a",
    callers=f"{HOST}:8101",
    peers=f"{HOST}:8102",
    readiness=f"{HOST}:8103",
    metrics=f"{HOST}:8104",
    backend_service="draws",
    backend_address=f"{HOST}:8105",
    platform_address=f"{HOST}:8106",
)


class ClosedSource:
    """Source that is not read."""

    def close(self):
        pass


class TestStart(LoopTestCase):
    def test_a_start_that_fails_holds_no_address(self):
        """The addresses before the one in use stayed open, also for a later start."""

        async def start():
            node = RelayNode(
                SETTINGS, ClosedSource(), PLATFORM_HEADERS, READINESS_PATH, Counters()
            )
            try:
                await node.start()
            except OSError:
                await asyncio.sleep(0)
                return node
            raise AssertionError("the address of callers is in use")

        async def run():
            with socket.create_server((HOST, 8101)):
                node = await start()
                with socket.create_server((HOST, 8102)):
                    return node.ready

        self.assertFalse(self.run_loop(run()))
