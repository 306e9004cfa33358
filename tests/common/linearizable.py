"""A checker of linearizability for histories that bring their witness.

Deciding whether any order of the operations explains their answers is hard
in general (Gibbons and Korach, "Testing Shared Memories", 1997).  Here each
answered operation tells its log position, so one order is given, and it is
enough to check that one: it must respect real time, and a register that
runs the operations in that order must give the same answers.
"""

import dataclasses


@dataclasses.dataclass(slots=True)
class Operation:
    """One answered operation on the register.

    A write has ``wrote`` and, where it was conditional, ``if_match``; a
    read has what it ``saw``: a value and its version.  ``position`` is
    where it stands in the log.
    """

    began: float
    ended: float
    position: int
    wrote: object = None
    if_match: int | None = None
    accepted: bool = True
    saw: tuple | None = None


def fault_in(operations):
    """Return what is wrong with a history, or ''."""
    order = sorted(operations, key=lambda item: item.position)
    latest_began = float("-inf")
    for item in order:
        if item.ended < latest_began:
            return f"{item} ended before one that it follows began"
        latest_began = max(latest_began, item.began)
    return _replay(order)


def _replay(order):
    value, version = None, 0
    for item in order:
        if item.saw is not None and item.saw != (value, version):
            return f"{item} should have seen {(value, version)}"
        if item.saw is not None:
            continue
        matches = item.if_match in (None, version)
        if item.accepted != matches:
            return f"{item} met version {version}"
        if item.accepted:
            value, version = item.wrote, item.position
    return ""
