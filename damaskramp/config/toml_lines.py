"""Line numbers of the values in a TOML document."""

import tree_sitter
import tree_sitter_toml

__all__ = ["LineIndex"]

KeyPath = tuple[str | int, ...]


class LineIndex:
    r"""Map from the path of a value to its line number.

    Parameters
    ----------
    text : str
        TOML document.

    Examples
    --------
    >>> index = LineIndex("[node]\nzone = 1\n[[teams]]\nname = 'a'\n")
    >>> index.line(("node", "zone"))
    2
    >>> index.line(("teams", 0, "name"))
    4
    >>> index.line(("node", "missing"))
    1
    """

    def __init__(self, text: str) -> None:
        self._lines: dict[KeyPath, int] = {}
        self._counts: dict[KeyPath, int] = {}
        language = tree_sitter.Language(tree_sitter_toml.language())
        tree = tree_sitter.Parser(language).parse(text.encode())
        for node in tree.root_node.children:
            self._visit_top_level(node)

    def line(self, path: KeyPath) -> int:
        """Return the line of `path` or of its nearest known parent, else 0."""
        while path:
            if path in self._lines:
                return self._lines[path]
            path = path[:-1]
        return 0

    def _visit_top_level(self, node: tree_sitter.Node) -> None:
        if node.type == "pair":
            self._visit_pair(node, ())
        elif node.type == "table":
            self._visit_table(node, self._resolve(_header_keys(node)))
        elif node.type == "table_array_element":
            parent = self._resolve(_header_keys(node))
            position = self._counts.get(parent, 0)
            self._counts[parent] = position + 1
            self._lines.setdefault(parent, _line(node))
            self._visit_table(node, parent + (position,))

    def _resolve(self, keys: KeyPath) -> KeyPath:
        """Insert the current position within each array of tables into `keys`."""
        path: KeyPath = ()
        for position, key in enumerate(keys):
            path += (key,)
            if path in self._counts and position + 1 < len(keys):
                path += (self._counts[path] - 1,)
        return path

    def _visit_table(self, node: tree_sitter.Node, path: KeyPath) -> None:
        self._lines[path] = _line(node)
        for child in node.children:
            if child.type == "pair":
                self._visit_pair(child, path)

    def _visit_pair(self, node: tree_sitter.Node, parent: KeyPath) -> None:
        path = parent + _keys(node.children[0])
        self._lines[path] = _line(node)
        self._visit_value(node.children[-1], path)

    def _visit_value(self, node: tree_sitter.Node, path: KeyPath) -> None:
        if node.type == "inline_table":
            for child in node.children:
                if child.type == "pair":
                    self._visit_pair(child, path)
        if node.type == "array":
            items = [c for c in node.children if c.is_named and c.type != "comment"]
            for position, child in enumerate(items):
                self._lines[path + (position,)] = _line(child)
                self._visit_value(child, path + (position,))


def _line(node: tree_sitter.Node) -> int:
    return node.start_point.row + 1


def _header_keys(node: tree_sitter.Node) -> KeyPath:
    return _keys(node.children[1])


def _keys(node: tree_sitter.Node) -> KeyPath:
    if node.type == "dotted_key":
        keys: KeyPath = ()
        for child in node.children:
            if child.type != ".":
                keys += _keys(child)
        return keys
    text = node.text.decode()
    return (text.strip("\"'") if node.type == "quoted_key" else text,)
