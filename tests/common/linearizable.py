"""A linearizability checker for histories with a known order.

Deciding whether any order of the operations explains their answers is
NP-complete in general (Gibbons and Korach, "Testing Shared Memories", 1997).
Here every operation has its log index, so only the order of the log needs to
be checked: it must respect real time, and a register that executes the
operations in this order must give the same answers.
"""

import dataclasses


@dataclasses.dataclass(slots=True)
class Operation:
    """One answered operation on the register.

    A write has ``wrote``, the new value, and ``if_match`` if it was
    conditional.  A read has ``saw``, a tuple of the value and its version.
    ``position`` is the place in the log order.
    """

    began: float
    ended: float
    position: int
    wrote: object = None
    if_match: int | None = None
    accepted: bool = True
    saw: tuple | None = None


def find_violation(operations):
    """Return a description of the first violation, or ''."""
    order = sorted(operations, key=lambda item: item.position)
    latest_start = float("-inf")
    for item in order:
        if item.ended < latest_start:
            return f"{item} ended before an earlier operation in the log began"
        latest_start = max(latest_start, item.began)
    return _check_answers(order)


def _check_answers(order):
    value, version = None, 0
    for item in order:
        if item.saw is not None and item.saw != (value, version):
            return f"{item} should have seen {(value, version)}"
        if item.saw is not None:
            continue
        matches = item.if_match in (None, version)
        if item.accepted != matches:
            return f"{item} was applied to version {version}"
        if item.accepted:
            value, version = item.wrote, item.position
    return ""
