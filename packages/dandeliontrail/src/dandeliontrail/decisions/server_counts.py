"""How many servers of a service to keep, where, and of which kind.

Made for engines that are paid for by the second, present ones included, while
*spot* servers cost a part of that and may be taken away, all of a failure
domain at once and at two seconds' notice.  Demand comes in bursts that triple
within a second, far quicker than a server starts, so the number of servers
stays what the operator found necessary; what changes is their kind.

Harm that it prevents: paying the full price for servers of which a part may
be lost at any time (a failure domain's share is what has to be borne in any
case), a failure domain without any server when its spot servers are taken,
and a number of servers that falls because nobody heard of them: what is
missing is ordered anew, and where nothing at all is heard nothing changes.

    >>> from dandeliontrail.resources import revisions
    >>> scaling = revisions.Scaling(1, 30, 4.0, 0.22)
    >>> plan(scaling, 5, Stock(regular=5))
    Stock(regular=5, spot=4)
    >>> plan(scaling, 5, Stock(regular=5, spot=4))
    Stock(regular=1, spot=4)
"""

import msgspec

# So many servers of a failure domain cost the full price: it serves on while
# all its spot servers are taken away and it is cut off from the others.
KEPT_REGULAR = 1


class Stock(msgspec.Struct):
    """Servers of one service in one failure domain, by kind."""

    regular: int = 0
    spot: int = 0


def plan(scaling, needed, serving):
    """Return the :class:`Stock` to order where ``needed`` servers are.

    ``serving`` is what serves there now.  Regular servers stand in for spot
    ones that do not serve: before they have started, after they were taken
    away, and for as long as there are none to be had.
    """
    kept = min(needed, KEPT_REGULAR)
    cheaper = scaling.spot_price < 1.0
    spot = needed - kept if cheaper else 0
    regular = max(kept, needed - min(spot, serving.spot))
    regular = max(scaling.fewest - spot, min(regular, scaling.most))
    return Stock(regular, max(0, min(spot, scaling.most - regular)))
