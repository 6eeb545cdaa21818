"""Output of the operators' programs for a running fleet."""

import json
import re
import subprocess
import sys
import tempfile
from pathlib import Path

from tests.fleets import FleetTestCase, bundle, desk_and_boards

EXTERNAL_RESOURCE = re.compile(r"""(src|href)=["']?https?:|url\(\s*["']?http|@import""")

OBJECTIVES = """
[[objectives]]
service = "board"
good_ratio = 0.9
latency_seconds = 1.0
"""


def run_program(program: str, *arguments: str) -> tuple[int, str]:
    command = f"from damaskramp.cli.{program} import main; main()"
    done = subprocess.run(
        [sys.executable, "-c", command, *arguments], capture_output=True, timeout=60
    )
    return done.returncode, done.stdout.decode()


class TestOperatorsView(FleetTestCase):
    HOSTS = desk_and_boards(2)
    BUNDLE = bundle(rest=OBJECTIVES)

    def test_status_of_the_fleet(self):
        code, out = run_program("status", f"--platform={self.fleet.platform}")
        self.assertEqual(0, code)
        self.assertIn("3 of 3 nodes reached", out)
        self.assertIn("bundle 1 (", out)

    def test_status_of_a_zone_as_json(self):
        flags = (f"--platform={self.fleet.platform}", "--zone=z1", "--json")
        code, out = run_program("status", *flags)
        self.assertEqual(0, code)
        self.assertEqual({"z1"}, {node["zone"] for node in json.loads(out)})

    def test_burn_names_a_budget_that_burns_too_fast(self):
        for _ in range(3):
            self.assertEqual(200, self.call("desk-1", "/board/x").status)
        platform = f"--platform={self.fleet.platform}"
        code, out = run_program("burn", platform)
        self.assertEqual(0, code)
        self.assertIn("no error budget burns too fast", out)
        for host in ("board-1", "board-2"):
            self.fleet.backend_process(host).kill()
        for _ in range(30):
            self.call("desk-1", "/board/x")
        with tempfile.TemporaryDirectory() as directory:
            page = Path(directory) / "burn.html"
            code, out = run_program("burn", platform, f"--page={page}")
            text = page.read_text()
        self.assertEqual(1, code)
        self.assertIn("board ballots clubs: page:", out)
        self.assertIn("<svg", text)
        self.assertIsNone(
            EXTERNAL_RESOURCE.search(text), "the page loads external resources"
        )
        code, out = run_program("burn", platform, "--json")
        burns = json.loads(out)["budgets"]
        self.assertEqual(["page"], [burn["alert"] for burn in burns])
