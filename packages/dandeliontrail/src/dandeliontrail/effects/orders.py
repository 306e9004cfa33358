"""Effects that send orders to engines."""

import msgspec

from ..decisions import model_orders


class GiveOrder(msgspec.Struct):
    """Send ``order`` with fencing token ``fencing`` to the engine at ``url``.

    The executor must call ``LeaseHolder.may_send`` once more after the
    connection has been established, immediately before it sends the first
    byte.  ``checks_fencing`` is true if the engine checks the token.
    """

    order: model_orders.Order
    url: str
    fencing: int
    checks_fencing: bool
