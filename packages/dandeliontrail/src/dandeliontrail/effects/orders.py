"""Effects that go to engines as orders."""

import msgspec

from ..decisions import model_orders


class GiveOrder(msgspec.Struct):
    """Send ``order`` to the engine at ``url``.

    Whoever carries it out asks ``LeaseHolder.may_send`` once more after
    the connection stands, right before the first byte.
    """

    order: model_orders.Order
    url: str
    fencing: int
    checks_fencing: bool
