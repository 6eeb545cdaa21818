"""Size of the next read of a connection whose body may come in very small chunks.

The parser makes a call for each chunk and can't be stopped inside a read: 256 KiB of
chunks of a few bytes take some 50 ms. With 32 answers of this kind, one turn of the
event loop took up to 3 s.
"""

__all__ = ["FIRST_READ_BYTES", "next_read_bytes"]

PARTS_PER_READ = 64
"""Parts of a body that one read should have: about a millisecond on a busy host. With
256, a turn of the loop with 32 such answers took 0.15 to 0.4 s."""

MIN_READ_BYTES = 512
"""Least bytes of a read, 85 chunks of one byte."""

FIRST_READ_BYTES = 16 * 1024
"""Most bytes of a read of an answer before the size of its parts is known."""


def next_read_bytes(size: int, parts: int, most: int) -> int:
    """Return the most bytes of the next read of a body.

    Parameters
    ----------
    size, parts : int
        Bytes of the last read, and parts of the body in it.
    most : int
        Largest read in bytes.

    Examples
    --------
    >>> next_read_bytes(16_384, 1, 262_144)
    262144
    >>> next_read_bytes(200, 0, 262_144)
    16384
    >>> next_read_bytes(16_384, 2730, 262_144)
    512
    >>> next_read_bytes(16_384, 80, 262_144)
    13107
    """
    if parts == 0:
        return min(most, FIRST_READ_BYTES)
    if parts == 1:
        return most
    return min(most, max(MIN_READ_BYTES, size * PARTS_PER_READ // parts))
