"""What the holder of a failure domain's orders tells the others.

Any instance answers an operator who asks why a placement is not as
declared, so the holder's view of it travels to all that are alive.
"""

import msgspec


class OrderLine(msgspec.Struct):
    """One order under way; ``given_ago`` in seconds when it was sent."""

    order: str
    placement: str
    given_ago: float
    answered: bool
    attempts: int


class PlacementLine(msgspec.Struct):
    """Why a placement is or is not as declared."""

    placement: str
    condition: str


class OrdersReport(msgspec.Struct, tag="orders"):
    """The orders of one failure domain, by its holder ``holder``."""

    failure_domain: str
    holder: str
    fencing: int
    orders: list[OrderLine]
    placements: list[PlacementLine]
