"""Golden log lines of three kinds of failed request, selected by the request id.

``DAMASKRAMP_GOLDEN=write bin/test tests/test_relay_logs.py`` rewrites the files.
"""

import asyncio
import json
import logging
import os
from pathlib import Path

from tests.log_records import collected_records
from tests.relay_fleet import CLUBS, RelayTestCase, configuration, ok, route

GOLDEN = Path(__file__).parent / "golden" / "logs"
VARYING = ("seconds", "wait", "permits", "limit")


def format_records(records, request_id):
    """Format the records of one request; values that vary become a placeholder."""
    standard_fields = set(vars(logging.makeLogRecord({}))) | {"message", "asctime"}
    lines = []
    for record in records:
        fields = {k: v for k, v in vars(record).items() if k not in standard_fields}
        if fields.get("request_id") != request_id:
            continue
        for name in fields:
            if any(part in name for part in VARYING):
                fields[name] = "<varies>"
        lines.append(json.dumps({"event": record.msg, **fields}, sort_keys=True))
    return "\n".join(lines) + "\n"


class TestGoldenLogs(RelayTestCase):
    def check_log(self, name, scenario, *args, **options):
        with collected_records() as records:
            self.run_scenario(scenario, *args, **options)
        text = format_records(records, "q1")
        path = GOLDEN / f"{name}.txt"
        if os.environ.get("DAMASKRAMP_GOLDEN") == "write":
            path.parent.mkdir(exist_ok=True)
            path.write_text(text)
        self.assertEqual(path.read_text(), text)

    def test_request_refused_over_the_team_rate(self):
        async def scenario(fleet):
            for n in range(6):
                await fleet.ask("/a", request_id=f"before{n}")
            await fleet.ask("/a", request_id="q1")

        limited = {"clubs": {**CLUBS["clubs"], "rate-per-s": 1, "burst": 1}}
        config = configuration(1, [route("svc", "/")], limited)
        self.check_log("refused_inside_rate", scenario, ("svc",), config)

    def test_request_times_out_deep_in_a_call_chain(self):
        async def slow(request):
            await asyncio.sleep(20)

        async def scenario(fleet):
            # The call without a key that the server of host 0 would make.
            await fleet.ask(
                "/deep/", key="", request_id="q1", extra="X-Timeout-Ms: 150\r\n"
            )

        config = configuration(
            1, [route("svc", "/"), route("deep", "/deep/", public=True)], CLUBS
        )
        self.check_log(
            "timed_out_deep", scenario, ("svc", "deep"), config, scripts=[ok, slow]
        )

    def test_outcome_is_unknown_after_a_backend_server_death(self):
        async def scenario(fleet):
            await fleet.ask("/once/", method="POST", body=b"x", request_id="q1")

        def die(request):
            return None

        config = configuration(
            1, [route("far", "/once/", kind="non_idempotent")], CLUBS
        )
        self.check_log(
            "unknown_after_death", scenario, ("svc", "far"), config, scripts=[ok, die]
        )
