"""Sorts blocks of import lines as hacking's H306 compares them.

``from a import b`` counts as ``a.b``, and case does not matter.  No sorter
at hand has this order, so ``make format`` runs this short one.
"""

import pathlib
import re
import sys

IMPORT = re.compile(r"(?:from (\S+) )?import (\S+)( as \S+)?(\s+# noqa.*)?")


def sort_key(line):
    """Return what H306 compares of an import line."""
    found = IMPORT.fullmatch(line)
    parts = [part for part in (found[1], found[2]) if part]
    return ".".join(parts).lower()


def sort_text(text):
    """Return ``text`` with each block of import lines sorted."""
    out = []
    block = []
    for line in text.split("\n"):
        if IMPORT.fullmatch(line):
            block.append(line)
            continue
        out.extend(sorted(block, key=sort_key))
        block = []
        out.append(line)
    return "\n".join(out)


def main(folders):
    """Sort every Python file below ``folders`` in place."""
    for folder in folders:
        for path in sorted(pathlib.Path(folder).rglob("*.py")):
            text = path.read_text()
            sorted_text = sort_text(text)
            if sorted_text != text:
                path.write_text(sorted_text)


if __name__ == "__main__":
    main(sys.argv[1:])
