"""The component that holds back requests which crash their servers.

What ends under which request is told at once over all links, and passed on by
relays; heartbeats compare the tables, so that an instance that has just
started, or was cut off, has them within a second or two.
"""

import collections
import enum

from .. import effects
from .. import interfaces
from ..coordination import server_ends
from ..decisions import crash_suspects

# What was served lately here, by fingerprint: a request that many send alike
# is cleared as soon as it is suspected, before it can be held back for long.
MOST_SERVED = 4096
# One end holds nothing back, and nearly all that was under it is served on
# the next server: that is no news.
ENDS_TO_CLEAR = 2
FORGET_INTERVAL = 1.0


class Scope(enum.Enum):
    """To which links news goes on."""

    ALL = "all"
    OWN_DOMAIN = "own_domain"


class News:
    """What is to be told: ends by incarnation, and what was served."""

    __slots__ = ("ends", "served")

    def __init__(self):
        self.ends = {}
        self.served = {}


class ServerEnds(interfaces.Component):
    """Keeps the table of ends and tells what is held back."""

    def __init__(self, state):
        self._state = state
        self._table = state.ends
        self._served = collections.OrderedDict()
        self._news = {}
        self._held = set()
        self._newly_held = []
        self._lines = []
        self._next_forget = 0.0

    def handlers(self):
        """Return the handlers of the other instances' words."""
        return {
            server_ends.EndedServers: self._ended_servers,
            server_ends.EndsRecords: self._records,
        }

    def tick(self, now):
        """Pass on what is news, and forget what is old.

        News is gathered until the next tick: a server that ends under sixty
        requests would else be sixty messages to each link.
        """
        if now >= self._next_forget:
            self._next_forget = now + FORGET_INTERVAL
            self._held.difference_update(self._table.forget(now))
            self._table.settle(now)
        out, self._lines = self._lines, []
        news, self._news = self._news, {}
        for scope, found in news.items():
            out.extend(self._spread(scope, found, now))
        return out

    def holds(self, fingerprint, now):
        """Tell whether a request gets no server now."""
        if fingerprint not in self._table.suspects:
            return False
        return crash_suspects.is_held(
            self._table, fingerprint, self._state.registry, now
        )

    def take_newly_held(self):
        """Return what came to be held back since the last call."""
        found, self._newly_held = self._newly_held, []
        return found

    def ended_under(self, attempt, event, now):
        """Take note that an attempt failed, maybe with its server.

        ``attempt`` is a ``life.Life``, for its present one, or a hedge.
        """
        fingerprint = attempt.work.fingerprint
        if not fingerprint or fingerprint in self._served:
            return
        if crash_suspects.is_suspect(event.closed, attempt.output_at, now):
            self._note(fingerprint, attempt.incarnation, now, Scope.ALL, now)

    def served(self, fingerprint, now):
        """Take note that a server served a request to the end."""
        if not fingerprint:
            return
        self._served[fingerprint] = None
        self._served.move_to_end(fingerprint)
        if len(self._served) > MOST_SERVED:
            self._served.popitem(last=False)
        self._clear_if_served(fingerprint, now)

    def _clear_if_served(self, fingerprint, now):
        """Clear a suspect, where enough ended under it for that to be news."""
        found = self._table.suspects.get(fingerprint)
        if (
            found is not None
            and len(found.ends) >= ENDS_TO_CLEAR
            and fingerprint in self._served
        ):
            self._clear(fingerprint, now, Scope.ALL, now)

    def _note(self, fingerprint, incarnation, at, scope, now):
        if not self._table.note(fingerprint, incarnation, at, now):
            return
        if scope is not None:
            news = self._news.setdefault(scope, News())
            news.ends.setdefault(incarnation, {})[fingerprint] = at
        self._changed(fingerprint, now)

    def _clear(self, fingerprint, at, scope, now):
        if not self._table.clear(fingerprint, at, now):
            return
        if scope is not None:
            news = self._news.setdefault(scope, News())
            news.served[fingerprint] = at
        self._changed(fingerprint, now)

    def _scope_of(self, source):
        """Return to whom news from another instance goes on, if at all."""
        members = self._state.members
        own = self._state.identity.failure_domain
        if members.full_mesh():
            return None
        if members.is_relay():
            inside = source.failure_domain == own
            return Scope.ALL if inside else Scope.OWN_DOMAIN
        relays = [item.instance for item in members.relays_of(own)]
        return None if source.instance in relays else Scope.ALL

    def _ended_servers(self, source, message, now):
        delay = self._state.members.delay(source, now)
        scope = self._scope_of(source)
        for ended in message.ended:
            incarnation = (ended.server, ended.epoch)
            at = now - ended.age - delay
            for fingerprint in ended.fingerprints:
                self._note(fingerprint, incarnation, at, scope, now)
                self._clear_if_served(fingerprint, now)
        for fingerprint in message.served:
            self._clear(fingerprint, now - delay, scope, now)
        return []

    def _records(self, source, message, now):
        """Take in what this instance lacked, as a relay for its domain too."""
        delay = self._state.members.delay(source, now)
        scope = self._scope_of(source)
        for record in message.records:
            fingerprint = record.fingerprint
            if self._table.is_forgotten(record, delay):
                continue
            if record.served:
                self._table.enter(fingerprint, now - record.age - delay, now)
                self._clear(fingerprint, now - record.age - delay, scope, now)
            for end in record.ends:
                at = now - end.age - delay
                incarnation = (end.server, end.epoch)
                self._note(fingerprint, incarnation, at, scope, now)
            self._clear_if_served(fingerprint, now)
        return []

    def _changed(self, fingerprint, now):
        held = self.holds(fingerprint, now)
        if held == (fingerprint in self._held):
            return
        if held:
            self._held.add(fingerprint)
            self._newly_held.append(fingerprint)
        else:
            self._held.discard(fingerprint)
        self._lines.append(self._line(fingerprint, held))

    def _line(self, fingerprint, held):
        """Return the log line of a request that is held back or no longer."""
        found = self._table.suspects[fingerprint]
        fields = {
            "fingerprint": fingerprint,
            "held": held,
            "served": found.served,
            "ended_servers": sorted(name for name, _ in found.ends),
            "important": True,
        }
        return effects.Log("warning", "request held back", fields)

    def _spread(self, scope, news, now):
        ended = [
            server_ends.EndedServer(
                name,
                epoch,
                round(max(0.0, now - min(under.values())), 3),
                list(under),
            )
            for (name, epoch), under in news.ends.items()
        ]
        message = server_ends.EndedServers(ended, list(news.served))
        own = self._state.identity.failure_domain
        return [
            effects.SendPeer(member.address, message)
            for member in self._state.members.links()
            if scope is Scope.ALL or member.failure_domain == own
        ]
