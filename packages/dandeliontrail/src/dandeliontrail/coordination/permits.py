"""Messages by which instances share the limit that a server names.

An instance that has requests for a limited server asks the server's *holder*
for permits.  The holder is one of the instances (:mod:`..decisions.holders`);
it issues permits at the rate that the server takes.  Each permit allows one
request for a short time, so a permit that is lost costs one request and no
permit can be used twice.
"""

import msgspec

from . import server_limits


class Want(msgspec.Struct, array_like=True):
    """A number of requests of one priority that wait; 0 is most urgent."""

    priority: int
    count: int


class Outlook(msgspec.Struct, array_like=True):
    """How long the next requests of one priority of an instance wait.

    ``ahead`` is the number of permits that others get before its next one,
    and ``turns`` the number of instances that then take turns with it.
    """

    priority: int
    ahead: int
    turns: int


class PermitAsk(msgspec.Struct, array_like=True):
    """Asks for permits for one server; replaces the sender's earlier ask.

    ``record`` is what the sender holds of the server's limit, ``number``
    grows with each ask of the sender.  ``spent`` is how many requests the
    sender has sent there without a permit since the last ask.  Of a brittle
    server, ``in_use`` is how many of its places the sender uses or has permits
    for, and ``seen`` the serial of the last grant that is counted in that.
    """

    record: server_limits.LimitRecord
    number: int
    wants: list[Want]
    spent: int = 0
    in_use: int = 0
    seen: int = 0


class PermitRequests(msgspec.Struct, tag="permit_requests"):
    """Asks for permits of servers with one holder."""

    asks: list[PermitAsk]


class PermitGrant(msgspec.Struct, array_like=True):
    """Permits for one server, in answer to the ask ``number``.

    ``serial`` is unique among the grants of one start of the holder.
    ``count`` permits are for any request, and one more is for a request of
    each priority in ``reserved``.  ``granting`` is false if the receiver of
    the ask is not the holder, or only since a moment ago.  ``next_in`` is the
    time in seconds until the holder has another permit.  ``rate`` is how many
    a second it issues lately, for a server that names no rate itself.
    """

    server: str
    epoch: int
    number: int
    serial: int
    count: int = 0
    reserved: list[int] = []
    granting: bool = True
    next_in: float = 0.0
    outlooks: list[Outlook] = []
    rate: float = 0.0


class PermitGrants(msgspec.Struct, tag="permit_grants"):
    """Grants for one instance.

    ``records`` are those limits that are newer than the instance knows.
    """

    grants: list[PermitGrant]
    records: list[server_limits.LimitRecord] = []


MESSAGES = (PermitRequests, PermitGrants)
