"""Exit codes and messages of the programs, for valid and invalid input."""

import json
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import testtools

from damaskramp import __version__
from damaskramp.bundle import SigningKey
from tests.fleets import bundle

SETTINGS = f"""\
[node]
host = "h1"
zone = "z1"

[listen]
http = "127.0.0.1:0"
peer = "127.0.0.1:0"
admin = "127.0.0.1:0"

[platform]
address = "127.0.0.1:1"

[trust]
public_keys = ["{SigningKey(bytes(32)).public_hex}"]
"""

PROGRAMS = ("node", "bundle", "status", "burn")


class ProgramTestCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)

    def run_program(self, program, *arguments, stdin=b""):
        command = [sys.executable, "-c", _RUN.format(program=program), *arguments]
        done = subprocess.run(command, input=stdin, capture_output=True, timeout=60)
        return done.returncode, done.stdout.decode(), done.stderr.decode()

    def write(self, name, text):
        path = self.directory / name
        path.write_text(text)
        return str(path)


_RUN = "from damaskramp.cli.{program} import main; main()"


class TestEveryProgram(ProgramTestCase):
    def test_help_and_version(self):
        for program in PROGRAMS:
            code, out, _ = self.run_program(program, "--help")
            self.assertEqual(0, code)
            self.assertIn("Exit codes:", out)
            code, out, _ = self.run_program(program, "--version")
            self.assertEqual((0, f"damaskramp-{program} {__version__}\n"), (code, out))

    def test_bad_flag(self):
        for program in PROGRAMS:
            code, _, err = self.run_program(program, "--no-such-flag=1")
            self.assertEqual(2, code)
            self.assertIn("--help", err)


class TestNodeSettings(ProgramTestCase):
    def check(self, text):
        path = self.write("node.toml", text)
        code, _, err = self.run_program("node", f"--settings={path}", "--check")
        return code, err.replace(path, "node.toml")

    def test_good_settings(self):
        self.assertEqual((0, ""), self.check(SETTINGS))

    def test_missing_file(self):
        code, _, err = self.run_program("node", "--settings=/nowhere/node.toml")
        self.assertEqual(2, code)
        self.assertIn("No such file", err)

    def test_empty_file(self):
        self.assertEqual((2, "node.toml: error: file is empty\n"), self.check(" \n"))

    def test_syntax_error_has_its_line(self):
        code, err = self.check("[node]\nhost = \n")
        self.assertEqual(2, code)
        self.assertIn("node.toml:2:", err)

    def test_every_finding_is_reported_with_its_line(self):
        text = SETTINGS.replace('zone = "z1"', "zone = 7")
        text = text.replace('admin = "127.0.0.1:0"', 'admin = "localhost:80"')
        text += '\n[limits]\nconections = 5\nbody_bytes = "many"\n'
        code, err = self.check(text)
        self.assertEqual(2, code)
        for expected in (
            "node.toml:3: node.zone: error:",
            "node.toml:8: listen.admin: error: must be an IP address and a port",
            "node.toml:17: limits.conections: error: unknown key",
            "node.toml:18: limits.body_bytes: error:",
        ):
            self.assertIn(expected, err)
        self.assertEqual(4, len(err.splitlines()))

    def test_address_in_use(self):
        with socket.create_server(("127.0.0.1", 0)) as taken:
            port = taken.getsockname()[1]
            text = SETTINGS.replace("127.0.0.1:0", f"127.0.0.1:{port}", 1)
            path = self.write("node.toml", text)
            code, _, err = self.run_program("node", f"--settings={path}")
        self.assertEqual(1, code)
        self.assertIn("address already in use", err)

    def test_stop_by_sigterm(self):
        path = self.write("node.toml", SETTINGS + "[limits]\nlame_duck_seconds = 0\n")
        command = [sys.executable, "-c", _RUN.format(program="node")]
        log = self.directory / "log"
        with log.open("wb") as sink:
            process = subprocess.Popen([*command, f"--settings={path}"], stderr=sink)
        while b'"started"' not in log.read_bytes() and process.poll() is None:
            time.sleep(0.05)
        process.send_signal(signal.SIGTERM)
        self.assertEqual(0, process.wait(60))
        lines = [json.loads(line) for line in log.read_text().splitlines()]
        self.assertEqual("stopped", lines[-1]["message"])


class TestBundleProgram(ProgramTestCase):
    def sign(self, text, name="bundle.json"):
        key = self.write("key", bytes(range(32)).hex())
        source = self.write("bundle.toml", text)
        out = str(self.directory / name)
        result = self.run_program(
            "bundle", "sign", source, f"--key={key}", f"--out={out}"
        )
        self.assertEqual((0, "", ""), result)
        return out

    def verify(self, path, *flags):
        public = SigningKey(bytes(range(32))).public_hex
        arguments = ("verify", path, f"--public_key={public}", *flags)
        return self.run_program("bundle", *arguments)

    def test_sign_and_verify(self):
        code, out, _ = self.verify(self.sign(bundle(version=3)))
        self.assertEqual(0, code)
        self.assertIn("version 3", out)

    def test_sign_does_not_overwrite_a_file(self):
        path = self.sign(bundle())
        key, source = str(self.directory / "key"), str(self.directory / "bundle.toml")
        code, _, err = self.run_program(
            "bundle", "sign", source, f"--key={key}", f"--out={path}"
        )
        self.assertEqual(1, code)
        self.assertIn("File exists", err)

    def test_changed_section_is_found(self):
        path = self.sign(bundle())
        text = Path(path).read_text()
        Path(path).write_text(text.replace("clubs", "press", 1))
        code, _, err = self.verify(path)
        self.assertEqual(2, code)
        self.assertIn("sections.", err)

    def test_changed_manifest_is_found(self):
        path = self.sign(bundle())
        text = Path(path).read_text().replace(r"\"version\":1", r"\"version\":2")
        Path(path).write_text(text)
        code, _, err = self.verify(path)
        self.assertEqual(2, code)
        self.assertIn("signature: error: does not match the manifest", err)

    def test_untrusted_signer_is_found(self):
        path = self.sign(bundle())
        untrusted_key = SigningKey(bytes(32)).public_hex
        code, _, err = self.run_program(
            "bundle", "verify", path, f"--public_key={untrusted_key}"
        )
        self.assertEqual(2, code)
        self.assertIn("not trusted", err)

    def test_expired_bundle_is_found(self):
        path = self.sign(bundle(head="expires = 2026-02-01T00:00:00Z"))
        code, _, err = self.verify(path)
        self.assertEqual(2, code)
        self.assertIn("expired at 2026-02-01", err)
        self.assertEqual(0, self.verify(path, "--allow_expired")[0])

    def test_empty_and_unrelated_files_are_rejected(self):
        for text in ("", "{}", "[1]", "no json", '{"format": 1, "sections": []}'):
            code, _, err = self.verify(self.write("bad.json", text))
            self.assertEqual(2, code)
            self.assertIn("bad.json", err)
            self.assertNotIn("Traceback", err)

    def test_every_broken_reference_is_found(self):
        text = bundle().replace('team = "press"', 'team = "pres"')
        text = text.replace('priority = "reading"', 'priority = "reeding"')
        source = self.write("bundle.toml", text)
        code, _, err = self.run_program("bundle", "check", source)
        self.assertEqual(2, code)
        self.assertIn("keys.1.team: error: no team is named 'pres'", err)
        self.assertEqual(2, err.count("no class is named 'reeding'"))
        self.assertNotIn("bundle.toml: ", err)

    def test_diff_names_whom_a_change_affects(self):
        old = self.write("old.toml", bundle())
        text = bundle(version=2).replace("burst = 1000", "burst = 50", 1)
        new = self.write("new.toml", text)
        code, out, _ = self.run_program("bundle", "diff", old, new)
        self.assertEqual(0, code)
        self.assertIn("team clubs: burst changes from 1000 to 50", out)
        self.assertIn("bundle: version changes from 1 to 2", out)

    def test_keygen_makes_the_secret_readable_by_its_owner_only(self):
        out = self.directory / "new-key"
        code, text, _ = self.run_program("bundle", "keygen", f"--out={out}")
        self.assertEqual(0, code)
        seed = out.read_text().strip()
        self.assertIn(SigningKey(bytes.fromhex(seed)).public_hex, text)
        self.assertEqual(0o600, out.stat().st_mode & 0o777)
        self.assertNotIn(seed, text)

    def test_key_digest(self):
        code, out, _ = self.run_program("bundle", "key-digest", stdin=b"abc\n")
        self.assertEqual(0, code)
        self.assertTrue(out.startswith("ba7816bf"))


class TestFleetPrograms(ProgramTestCase):
    def test_unreachable_is_reported(self):
        for program in ("status", "burn"):
            code, _, err = self.run_program(program, "--platform=127.0.0.1:1")
            self.assertEqual(3, code)
            self.assertIn("platform 127.0.0.1:1: connect", err)
        code, out, _ = self.run_program("status", "--node=127.0.0.1:1")
        self.assertEqual(3, code)
        self.assertIn("UNREACHABLE", out)

    def test_bad_address(self):
        for program in ("status", "burn"):
            code, _, err = self.run_program(program, "--node=nowhere")
            self.assertEqual(2, code)
            self.assertIn("'nowhere' is not IP:PORT", err)
