"""Reports of the orders of a failure domain, from its lease holder.

An operator may ask any instance why a placement is not as declared, so the
lease holder sends its view to all instances that are alive.
"""

import msgspec


class OrderLine(msgspec.Struct):
    """An order in flight, sent ``given_ago`` seconds before the report."""

    order: str
    placement: str
    given_ago: float
    answered: bool
    attempts: int


class PlacementLine(msgspec.Struct):
    """The condition of a placement: why it is or is not as declared."""

    placement: str
    condition: str


class OrdersReport(msgspec.Struct, tag="orders"):
    """The orders of one failure domain, by its lease holder ``holder``."""

    failure_domain: str
    holder: str
    fencing: int
    orders: list[OrderLine]
    placements: list[PlacementLine]
