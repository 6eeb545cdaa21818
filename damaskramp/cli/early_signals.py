"""Treatment of signals from the start of a process, before its modules are imported.

Importing this module ignores SIGHUP. Its default action would end a node that is still
starting; the settings are read afterwards, and changes since then are found.
"""

import signal

__all__ = ["restore_hangup"]


def restore_hangup() -> None:
    """Let SIGHUP end the process, as is usual for one that doesn't reload."""
    signal.signal(signal.SIGHUP, signal.SIG_DFL)


signal.signal(signal.SIGHUP, signal.SIG_IGN)
