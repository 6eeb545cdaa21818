"""Golden log lines of three kinds of failed request, followed by the request's id.

``DAMASKRAMP_GOLDEN=write bin/test tests/test_relay_logs.py`` writes them anew.
"""

import asyncio
import json
import logging
import os
from pathlib import Path

from tests.relay_fleet import CLUBS, RelayTestCase, configuration, ok, route

GOLDEN = Path(__file__).parent / "golden" / "logs"
VARYING = ("seconds", "wait", "permits", "limit")


class _Lines(logging.Handler):
    def __init__(self):
        super().__init__()
        self.records = []

    def emit(self, record):
        self.records.append(record)


def shown(records, request_id):
    """Lines on one request; what differs from run to run by its presence only."""
    known = set(vars(logging.makeLogRecord({}))) | {"message", "asctime"}
    lines = []
    for record in records:
        fields = {k: v for k, v in vars(record).items() if k not in known}
        if fields.get("request_id") != request_id:
            continue
        for name in fields:
            if any(part in name for part in VARYING):
                fields[name] = "<varies>"
        lines.append(json.dumps({"event": record.msg, **fields}, sort_keys=True))
    return "\n".join(lines) + "\n"


class TestGoldenLogs(RelayTestCase):
    def logged(self, name, scenario, *args, **options):
        handler = _Lines()
        logger = logging.getLogger("damaskramp")
        logger.addHandler(handler)
        logger.setLevel(logging.INFO)
        try:
            self.play(scenario, *args, **options)
        finally:
            logger.removeHandler(handler)
        text = shown(handler.records, "q1")
        path = GOLDEN / f"{name}.txt"
        if os.environ.get("DAMASKRAMP_GOLDEN") == "write":
            path.parent.mkdir(exist_ok=True)
            path.write_text(text)
        self.assertEqual(path.read_text(), text)

    def test_refused_though_inside_its_rate(self):
        async def scenario(fleet):
            for n in range(6):
                await fleet.ask("/a", request_id=f"before{n}")
            await fleet.ask("/a", request_id="q1")

        few = {"clubs": {**CLUBS["clubs"], "rate-per-s": 1, "burst": 1}}
        config = configuration(1, [route("svc", "/")], few)
        self.logged("refused_inside_rate", scenario, ("svc",), config)

    def test_timed_out_deep_in_a_chain(self):
        async def slow(request):
            await asyncio.sleep(20)

        async def scenario(fleet):
            # The call that the server of host 0 would make, keyless.
            await fleet.ask(
                "/deep/", key="", request_id="q1", extra="X-Timeout-Ms: 150\r\n"
            )

        config = configuration(
            1, [route("svc", "/"), route("deep", "/deep/", public=True)], CLUBS
        )
        self.logged(
            "timed_out_deep", scenario, ("svc", "deep"), config, scripts=[ok, slow]
        )

    def test_unknown_after_a_backend_server_died(self):
        async def scenario(fleet):
            await fleet.ask("/once/", method="POST", body=b"x", request_id="q1")

        def die(request):
            return None

        config = configuration(
            1, [route("far", "/once/", kind="non_idempotent")], CLUBS
        )
        self.logged(
            "unknown_after_death", scenario, ("svc", "far"), config, scripts=[ok, die]
        )
