"""How many servers of a service to run, where, and of which kind.

Every server is paid for by the second, including those already running. *Spot*
servers cost a part of the regular price and may be taken away, all of a
failure domain at once and with two seconds' notice. Demand can triple within a
second, far faster than a server starts, so the number of servers is never
below what the operator requires. Spot servers are ordered with a reserve: when
one failure domain loses all of its spot servers, as many as are needed are
left. Until then the reserve handles prompts and caches their parts.

The plan avoids paying the full price for servers that could be spot servers
(losing those of one failure domain has to be tolerated in any case) or for
replacing lost ones; a failure domain that has no server at all once its spot
servers are taken; and a server count that falls because servers are not heard
of. Missing servers are ordered again, and where nothing at all is heard
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

# Number of servers in a failure domain that are regular ones: the domain keeps
# serving while all its spot servers are taken away and it is cut off from the
# other domains.
MIN_REGULAR_SERVERS = 1


class Stock(msgspec.Struct):
    """Numbers of servers of one service in one failure domain, by kind."""

    regular: int = 0
    spot: int = 0


def plan(scaling, needed, serving, domains):
    """Return the :class:`Stock` to order for each failure domain.

    ``needed`` is the number of servers needed in each failure domain and
    ``serving`` the :class:`Stock` known to serve there; ``domains`` is the
    number of failure domains in all. Regular servers replace spot servers as
    long as fewer than needed serve in all: before the spot servers have
    started, after they were taken away in several domains, and while none are
    available.
    """
    stocks = {}
    shortfall = {}
    reserve = 0
    ratio = _server_ratio(scaling, domains)
    for domain, stock in serving.items():
        count = needed[domain]
        regular = min(count, MIN_REGULAR_SERVERS)
        spot = math.ceil(count * ratio) - regular if ratio else 0
        stocks[domain] = Stock(regular, spot)
        excess = regular + min(spot, stock.spot) - count
        shortfall[domain] = max(0, -excess)
        reserve += max(0, excess)
    for domain, count in _cover_by_reserve(shortfall, reserve).items():
        stocks[domain].regular += count
    return {
        domain: _within_bounds(scaling, stock)
        for domain, stock in stocks.items()
    }


def _server_ratio(scaling, domains):
    """Return how many servers to have, reserve included, per needed one.

    It is 0 if spot servers are no cheaper than regular ones, and 1 (no
    reserve) if regular servers alone would cost as much as spot servers with a
    reserve.
    """
    if scaling.spot_price >= 1.0:
        return 0.0
    ratio = domains / (domains - 1) if domains > 1 else 1.0
    return ratio if ratio * scaling.spot_price < 1.0 else 1.0


def _cover_by_reserve(shortfall, reserve):
    """Return ``shortfall`` reduced by the reserve of other domains.

    The domain with the largest shortfall is helped first.
    """
    remaining = dict(shortfall)
    for _ in range(min(reserve, sum(remaining.values()))):
        domain = max(sorted(remaining), key=remaining.get)
        remaining[domain] -= 1
    return remaining


def _within_bounds(scaling, stock):
    regular = min(stock.regular, scaling.most)
    spot = max(0, min(stock.spot, scaling.most - regular))
    return Stock(max(regular, scaling.fewest - spot), spot)
