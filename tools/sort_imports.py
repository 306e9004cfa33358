"""Sorts blocks of import lines in the order that hacking's H306 checks.

``from a import b`` is compared as ``a.b``, ignoring case.  None of the
formatters in use supports this order, so ``make format`` runs this script.
"""

import pathlib
import re
import sys

IMPORT_LINE = re.compile(
    r"(?:from (\S+) )?import (\S+)( as \S+)?(\s+# noqa.*)?"
)


def sort_key(line):
    """Return the text of an import line that H306 compares."""
    match = IMPORT_LINE.fullmatch(line)
    parts = [part for part in (match[1], match[2]) if part]
    return ".".join(parts).lower()


def sort_text(text):
    """Return ``text`` with each block of import lines sorted."""
    sorted_lines = []
    block = []
    for line in text.split("\n"):
        if IMPORT_LINE.fullmatch(line):
            block.append(line)
            continue
        sorted_lines.extend(sorted(block, key=sort_key))
        block = []
        sorted_lines.append(line)
    return "\n".join(sorted_lines)


def main(folders):
    """Sort the imports of every Python file below ``folders``, in place."""
    for folder in folders:
        for path in sorted(pathlib.Path(folder).rglob("*.py")):
            text = path.read_text()
            sorted_text = sort_text(text)
            if sorted_text != text:
                path.write_text(sorted_text)


if __name__ == "__main__":
    main(sys.argv[1:])
