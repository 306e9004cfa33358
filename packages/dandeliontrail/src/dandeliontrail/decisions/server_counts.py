"""How many servers of a service to keep, where, and of which kind.

Made for engines that are paid for by the second, present ones included, while
*spot* servers cost a part of that and may be taken away, all of a failure
domain at once and at two seconds' notice.  Demand comes in bursts that triple
within a second, far quicker than a server starts, so the number of servers is
never below what the operator found necessary.  Spot servers are ordered with a
reserve: as many as are needed are left when one failure domain loses all of
its own.  Until then the reserve reads prompts and holds their parts.

Harm that it prevents: paying the full price for servers of which a part may
be lost at any time (a failure domain's share is what has to be borne in any
case) or to stand in for them, a failure domain without any server when its
spot servers are taken, and a number of servers that falls because nobody heard
of them: what is missing is ordered anew, and where nothing at all is heard
nothing changes.

    >>> from dandeliontrail.resources import revisions
    >>> scaling = revisions.Scaling(1, 30, 4.0, 0.22)
    >>> plan(scaling, {"a": 5}, {"a": Stock(regular=5)}, domains=1)
    {'a': Stock(regular=5, spot=4)}
    >>> plan(scaling, {"a": 5}, {"a": Stock(regular=5, spot=4)}, domains=1)
    {'a': Stock(regular=1, spot=4)}
    >>> plan(scaling, {"a": 6}, {"a": Stock(regular=1, spot=8)}, domains=3)
    {'a': Stock(regular=1, spot=8)}
"""

import math

import msgspec

# So many servers of a failure domain cost the full price: it serves on while
# all its spot servers are taken away and it is cut off from the others.
KEPT_REGULAR = 1


class Stock(msgspec.Struct):
    """Servers of one service in one failure domain, by kind."""

    regular: int = 0
    spot: int = 0


def plan(scaling, needed, serving, domains):
    """Return the :class:`Stock` to order, by failure domain.

    ``needed`` counts the servers that are needed in each failure domain and
    ``serving`` what serves there, of those that are heard of; ``domains`` is
    how many there are at all.  Regular servers stand in for spot ones where
    fewer than are needed serve in all: before these have started, after they
    were taken away in several domains, and for as long as there are none to
    be had.
    """
    made = {}
    lacking = {}
    reserve = 0
    part = _part_with_reserve(scaling, domains)
    for domain, stock in serving.items():
        count = needed[domain]
        kept = min(count, KEPT_REGULAR)
        spot = math.ceil(count * part) - kept if part else 0
        made[domain] = Stock(kept, spot)
        beyond = kept + min(spot, stock.spot) - count
        lacking[domain] = max(0, -beyond)
        reserve += max(0, beyond)
    for domain, count in _after_reserve(lacking, reserve).items():
        made[domain].regular += count
    return {
        domain: _within_bounds(scaling, stock)
        for domain, stock in made.items()
    }


def _part_with_reserve(scaling, domains):
    """Return how many spot servers to have for each one that is needed.

    None where they are no cheaper, and no reserve where regular servers
    alone would cost as much.
    """
    if scaling.spot_price >= 1.0:
        return 0.0
    part = domains / (domains - 1) if domains > 1 else 1.0
    return part if part * scaling.spot_price < 1.0 else 1.0


def _after_reserve(lacking, reserve):
    """Return ``lacking`` less what the reserve of others makes up for.

    The domain that lacks most is helped first.
    """
    left = dict(lacking)
    for _ in range(min(reserve, sum(left.values()))):
        most = max(sorted(left), key=left.get)
        left[most] -= 1
    return left


def _within_bounds(scaling, stock):
    regular = min(stock.regular, scaling.most)
    spot = max(0, min(stock.spot, scaling.most - regular))
    return Stock(max(regular, scaling.fewest - spot), spot)
