"""Plain-text tables."""

from collections.abc import Sequence

__all__ = ["format_table"]

GAP = "  "


def format_table(head: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Return a table with aligned columns; numbers are right-aligned.

    Examples
    --------
    >>> print(format_table(("host", "calls"), [("a1", 7), ("b", 12)]))
    host  calls
    ----  -----
    a1        7
    b        12
    """
    texts = [[str(cell) for cell in row] for row in rows]
    widths = [
        max([len(name), *(len(row[column]) for row in texts)])
        for column, name in enumerate(head)
    ]
    lines = [_line(head, widths, [False] * len(widths))]
    lines.append(GAP.join("-" * width for width in widths))
    for row, cells in zip(rows, texts, strict=True):
        right = [isinstance(cell, int | float) for cell in row]
        lines.append(_line(cells, widths, right))
    return "\n".join(lines)


def _line(cells: Sequence[str], widths: Sequence[int], right: Sequence[bool]) -> str:
    parts = [
        cell.rjust(width) if to_right else cell.ljust(width)
        for cell, width, to_right in zip(cells, widths, right, strict=True)
    ]
    return GAP.join(parts).rstrip()
