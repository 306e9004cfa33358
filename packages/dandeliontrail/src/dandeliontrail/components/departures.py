"""The component that confirms departures of backend servers.

An instance keeps a departure in memory.  If it acknowledged one that nobody
else knows and ended, all others would go on sending requests to the server.
So it is acknowledged once another instance has it, which forwards it.
"""

import msgspec

from .. import effects
from .. import interfaces
from ..coordination import member_records
from ..coordination import servers
from ..resources import changes

# A server takes its departure to another instance after one second.
MAX_WAIT_SECONDS = 0.6
ACCEPTED = changes.Result(changes.ResultKind.ACCEPTED)
NOT_CONFIRMED = changes.Result(
    changes.ResultKind.UNKNOWN,
    message="No other instance has confirmed the departure.",
    remedy="send it again, here or to another instance",
)


class _Pending(msgspec.Struct):
    """A departure that others were told of at ``since``."""

    write_id: str
    server: str
    start: tuple
    since: float


class Departures(interfaces.Component):
    """Has departures confirmed by another instance.

    >>> departures.begin("w1", record, now)  # doctest: +SKIP
    [SendPeer(address='i2:7000', message=ServerRecords(...)), ...]
    """

    def __init__(self, state):
        self._state = state
        self._pending = {}
        # Answers to an earlier start of this instance may still arrive.
        self._last_receipt = state.identity.incarnation
        # The starts of servers whose departure another instance has.
        self._confirmed = {}

    def handlers(self):
        """Return the handlers of receipts and of others' records."""
        return {
            servers.ServerRecords: self._handle_records,
            servers.RecordsReceived: self._handle_received,
        }

    def begin(self, write_id, record, now):
        """Have a departure confirmed; ``write_id`` gets the result.

        ``record`` is the ``servers.ServerRecord`` of a server that leaves.
        """
        announcement = record.announcement
        name = announcement.backend_server
        is_known = self._confirmed.get(name) == announcement.start()
        if is_known or not self._has_others():
            return [effects.WriteAnswered(write_id, ACCEPTED)]
        self._last_receipt += 1
        receipt = self._last_receipt
        self._pending[receipt] = _Pending(
            write_id, name, announcement.start(), now
        )
        message = servers.ServerRecords([record], receipt)
        return [
            effects.SendPeer(member.address, message)
            for member in self._state.members.spread_to()
        ]

    def tick(self, now):
        """Answer the departures that nobody has confirmed in time."""
        out = []
        for receipt, pending in list(self._pending.items()):
            if now - pending.since >= MAX_WAIT_SECONDS:
                del self._pending[receipt]
                out.append(_line(pending))
                out.append(
                    effects.WriteAnswered(pending.write_id, NOT_CONFIRMED)
                )
        if self._confirmed:
            self._forget_old()
        return out

    def _has_others(self):
        """Return whether there is another instance, in reach or not."""
        members = self._state.members
        if not members.members:
            return bool(members.seeds - {self._state.identity.address})
        return any(
            member.standing is not member_records.Standing.LEFT
            for member in members.members.values()
        )

    def _handle_records(self, source, message, now):
        """Send the receipt, and note which departures the sender has."""
        for record in message.records:
            if record.announcement.leaving:
                name = record.announcement.backend_server
                self._confirmed[name] = record.announcement.start()
        if not message.receipt or not all(map(self._has, message.records)):
            return []
        answer = servers.RecordsReceived(message.receipt)
        return [effects.SendPeer(source.address, answer)]

    def _has(self, record):
        """Return whether the registry has a record, or a newer one."""
        name = record.announcement.backend_server
        known = self._state.registry.servers.get(name)
        return known is not None and not servers.supersedes(
            record.announcement, known.announcement
        )

    def _handle_received(self, source, message, now):
        pending = self._pending.pop(message.receipt, None)
        if pending is None:
            return []
        self._confirmed[pending.server] = pending.start
        return [effects.WriteAnswered(pending.write_id, ACCEPTED)]

    def _forget_old(self):
        known = self._state.registry.servers
        for name in list(self._confirmed):
            if name not in known:
                del self._confirmed[name]


def _line(pending):
    fields = {
        "backend_server": pending.server,
        "seconds": MAX_WAIT_SECONDS,
        "important": True,
    }
    text = "backend server's departure was not confirmed"
    return effects.Log("warning", text, fields)
