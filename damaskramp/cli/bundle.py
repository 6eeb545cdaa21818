"""``damaskramp-bundle``: check, compare, sign and verify bundles."""

import os
import sys
from collections.abc import Callable, Sequence
from datetime import UTC, datetime
from pathlib import Path

from absl import flags
from expression import Error, Ok, Result

from damaskramp.bundle import (
    Bundle,
    SigningKey,
    diff_bundles,
    key_digest,
    load_bundle_source,
    sign_bundle,
    verify_bundle,
)
from damaskramp.cli.common import ExitCode, fail, run_program
from damaskramp.core import Findings, Place

__all__ = ["main"]

USAGE = """
damaskramp-bundle check SOURCE          check a bundle's TOML source
damaskramp-bundle diff OLD NEW          list the changes and whom they affect
damaskramp-bundle sign SOURCE           write the signed bundle (--key, --out)
damaskramp-bundle verify SIGNED         verify a signed bundle (--public-key)
damaskramp-bundle keygen                generate a signing key (--out)
damaskramp-bundle key-digest            digest of a caller's key read from stdin

Exit codes: 0 success, 1 a file could not be written, 2 findings or a bad command
line.
"""

FLAGS = flags.FlagValues()
flags.DEFINE_string("key", "", "file with the signing key", flag_values=FLAGS)
flags.DEFINE_string("out", "", "file to write, never overwritten", flag_values=FLAGS)
flags.DEFINE_multi_string("public_key", [], "trusted public key", flag_values=FLAGS)
flags.DEFINE_bool(
    "allow_expired", False, "accept a bundle that has expired", flag_values=FLAGS
)

SEED_DIGITS = 64


def main() -> None:
    """Run the program."""
    run_program("damaskramp-bundle", USAGE, _main, FLAGS)


def _main(arguments: Sequence[str]) -> int:
    if not arguments:
        return fail("damaskramp-bundle: no command\n" + USAGE)
    command, *rest = arguments
    if command not in COMMANDS:
        return fail(f"damaskramp-bundle: unknown command {command!r}\n{USAGE}")
    count, function = COMMANDS[command]
    if len(rest) != count:
        return fail(
            f"damaskramp-bundle: {command} takes {count} files, not {len(rest)}"
        )
    return function(*rest)


def _check(source: str) -> int:
    loaded = load_bundle_source(source)
    if loaded.is_error():
        return fail(loaded.error)
    head = loaded.ok.bundle
    print(f"{source}: version {head.version}, {len(loaded.ok.teams)} teams, good")
    return ExitCode.OK


def _diff(old: str, new: str) -> int:
    before, after = _load_any(old), _load_any(new)
    findings = Findings()
    for loaded in (before, after):
        if loaded.is_error():
            findings.extend(loaded.error)
    if findings.has_errors:
        return fail(findings)
    changes = diff_bundles(before.ok, after.ok)
    for change in changes:
        print(change)
    if not changes:
        print("no difference")
    return ExitCode.OK


def _load_any(path: str) -> Result[Bundle, Findings]:
    """Load a TOML source, or the contents of a signed bundle."""
    if not path.endswith(".json"):
        return load_bundle_source(path)
    data = _read(path)
    if data.is_error():
        return data
    return _contents(data.ok, path)


def _contents(data: bytes, path: str) -> Result[Bundle, Findings]:
    signed = verify_bundle(data, tuple(FLAGS.public_key), path)
    return signed.map(lambda good: good.bundle)


def _sign(source: str) -> int:
    loaded = load_bundle_source(source)
    if loaded.is_error():
        return fail(loaded.error)
    if not FLAGS.key:
        return fail("damaskramp-bundle: sign needs --key")
    key = _read(FLAGS.key).bind(lambda data: _parse_key(data, FLAGS.key))
    if key.is_error():
        return fail(key.error)
    return _write(sign_bundle(loaded.ok, key.ok).to_json() + b"\n")


def _verify(path: str) -> int:
    if not FLAGS.public_key:
        return fail("damaskramp-bundle: verify needs --public_key")
    data = _read(path)
    if data.is_error():
        return fail(data.error)
    now = None if FLAGS.allow_expired else datetime.now(UTC)
    verified = verify_bundle(data.ok, tuple(FLAGS.public_key), path, now)
    if verified.is_error():
        return fail(verified.error)
    signed = verified.ok
    print(f"{path}: version {signed.version}, digest {signed.digest}, good")
    return ExitCode.OK


def _keygen() -> int:
    if not FLAGS.out:
        return fail("damaskramp-bundle: keygen needs --out")
    key = SigningKey.generate()
    written = _write(key.seed_hex.encode() + b"\n", mode=0o600)
    if written == ExitCode.OK:
        print(f"public key {key.public_hex}")
    return written


def _key_digest() -> int:
    key = sys.stdin.buffer.read().strip()
    if not key:
        return fail("damaskramp-bundle: no key on standard input")
    print(key_digest(key))
    return ExitCode.OK


def _read(path: str) -> Result[bytes, Findings]:
    try:
        return Ok(Path(path).read_bytes())
    except OSError as error:
        findings = Findings()
        findings.error(Place(path), error.strerror or str(error))
        return Error(findings)


def _parse_key(data: bytes, path: str) -> Result[SigningKey, Findings]:
    text = data.strip().decode("ascii", "replace")
    if len(text) == SEED_DIGITS and set(text) <= set("0123456789abcdef"):
        return Ok(SigningKey(bytes.fromhex(text)))
    findings = Findings()
    findings.error(Place(path), "not a signing key made by keygen")
    return Error(findings)


def _write(data: bytes, mode: int = 0o644) -> int:
    if not FLAGS.out:
        sys.stdout.buffer.write(data)
        return ExitCode.OK
    try:
        descriptor = os.open(FLAGS.out, os.O_WRONLY | os.O_CREAT | os.O_EXCL, mode)
        with os.fdopen(descriptor, "wb") as file:
            file.write(data)
    except OSError as error:
        return fail(f"{FLAGS.out}: {error.strerror}", ExitCode.FAILED)
    return ExitCode.OK


COMMANDS: dict[str, tuple[int, Callable[..., int]]] = {
    "check": (1, _check),
    "diff": (2, _diff),
    "sign": (1, _sign),
    "verify": (1, _verify),
    "keygen": (0, _keygen),
    "key-digest": (0, _key_digest),
}


if __name__ == "__main__":
    main()
