"""Resident memory and open descriptors of a process, as the kernel states them."""

import os
import re
from pathlib import Path

__all__ = ["process_usage"]


def process_usage(pid):
    """Return the resident memory in mebibytes and the number of open descriptors.

    None if the process has ended.
    """
    folder = Path(f"/proc/{pid}")
    try:
        status = (folder / "status").read_text("utf-8")
        descriptors = len(os.listdir(folder / "fd"))
    except OSError:
        return None
    found = re.search(r"VmRSS:\s+(\d+) kB", status)
    return (int(found[1]) / 1024, descriptors) if found else None
