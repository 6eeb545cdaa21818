"""TLS contexts that reload their certificate files.

A renewed file takes effect for new connections. If a renewed file can't be read, the
previous certificate stays in use and the failure is counted.
"""

import ssl
from collections.abc import Callable
from pathlib import Path

from expression import Error, Ok, Result

from damaskramp.core import Findings, Place, TimerHandle, TimerService
from damaskramp.tls.settings import TlsSettings

__all__ = ["TlsContexts"]

HTTP_PROTOCOLS = ["http/1.1"]
GRPC_PROTOCOLS = ["h2"]


class TlsContexts:
    """TLS contexts of one node; a context is None where TLS is not configured.

    Parameters
    ----------
    settings : TlsSettings
        Paths of the certificate files and the reload interval.
    """

    def __init__(self, settings: TlsSettings) -> None:
        self._settings = settings
        self._caller_server: ssl.SSLContext | None = None
        self._peer_server: ssl.SSLContext | None = None
        self._peer_client: ssl.SSLContext | None = None
        self._file_versions: dict[str, tuple[int, int]] = {}
        self._handle: TimerHandle | None = None

    @property
    def caller_server(self) -> ssl.SSLContext | None:
        """Context for connections from callers."""
        return self._caller_server

    @property
    def peer_server(self) -> ssl.SSLContext | None:
        """Context for connections from other nodes; it requires a certificate."""
        return self._peer_server

    @property
    def peer_client(self) -> ssl.SSLContext | None:
        """Context for connections to other nodes."""
        return self._peer_client

    def load(self, source: str) -> Result[None, Findings]:
        """Build the contexts.

        Parameters
        ----------
        source : str
            Name of the settings in findings.
        """
        findings = Findings()
        callers, peers = self._settings.callers, self._settings.peers
        if callers is not None:
            self._caller_server = _context(ssl.PROTOCOL_TLS_SERVER, HTTP_PROTOCOLS)
        if peers is not None:
            self._peer_server = _context(ssl.PROTOCOL_TLS_SERVER, GRPC_PROTOCOLS)
            self._peer_server.verify_mode = ssl.CERT_REQUIRED
            self._peer_client = _context(ssl.PROTOCOL_TLS_CLIENT, GRPC_PROTOCOLS)
        for key, error in self._read_files():
            findings.error(Place(source, key), str(error))
        return Error(findings) if findings.has_errors else Ok(None)

    def watch_files(self, timers: TimerService, report: Callable[[str], None]) -> None:
        """Check periodically for renewed files and reload them.

        Parameters
        ----------
        report : callable
            Function called with the event ``tls_reloaded`` or ``tls_reload_failed``.
        """
        if self._caller_server is not None or self._peer_server is not None:
            period = self._settings.reload_seconds
            self._handle = timers.every(period, lambda: self._reload(report))

    def close(self) -> None:
        """Stop checking for renewed files."""
        if self._handle is not None:
            self._handle.cancel()

    def _reload(self, report: Callable[[str], None]) -> None:
        if self._files_changed():
            failed = self._read_files()
            report("tls_reload_failed" if failed else "tls_reloaded")

    def _files_changed(self) -> bool:
        file_versions = {path: _file_version(path) for path in self._paths()}
        return file_versions != self._file_versions

    def _read_files(self) -> list[tuple[str, Exception]]:
        """Load all files; return the errors, each with its key in the settings."""
        self._file_versions = {path: _file_version(path) for path in self._paths()}
        failed = []
        callers, peers = self._settings.callers, self._settings.peers
        for key, pair, contexts in (
            ("tls.callers", callers, (self._caller_server,)),
            ("tls.peers", peers, (self._peer_server, self._peer_client)),
        ):
            if pair is None:
                continue
            try:
                for context in contexts:
                    context.load_cert_chain(pair.certificate, pair.key)
            except (OSError, ssl.SSLError) as error:
                failed.append((key, error))
        if peers is not None:
            try:
                for context in (self._peer_server, self._peer_client):
                    context.load_verify_locations(peers.authorities)
            except (OSError, ssl.SSLError) as error:
                failed.append(("tls.peers.authorities", error))
        return failed

    def _paths(self) -> list[str]:
        pairs = [p for p in (self._settings.callers, self._settings.peers) if p]
        paths = [path for pair in pairs for path in (pair.certificate, pair.key)]
        if self._settings.peers is not None:
            paths.append(self._settings.peers.authorities)
        return paths


def _context(protocol: int, application_protocols: list[str]) -> ssl.SSLContext:
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.set_alpn_protocols(application_protocols)
    return context


def _file_version(path: str) -> tuple[int, int]:
    """Return modification time (ns) and inode of a file, or zeros if it is missing."""
    try:
        file_status = Path(path).stat()
    except OSError:
        return 0, 0
    return file_status.st_mtime_ns, file_status.st_ino
