"""How instances that are behind catch up from any that is ahead.

Committed entries are facts: whoever has them may pass them on, and
whoever gets them may apply them, keeper or not.  So an instance fetches
from the nearest one that is ahead, and in a cut-off failure domain a
restarted instance gets back all that the domain already had.
"""

from . import quorum_log_core as core_module
from . import quorum_log_messages as messages
from . import quorum_log_records as records

BATCH = 256
# Beyond so many bytes of entries a checkpoint is sent instead: of many whole
# configurations in a row only the last is of use to whoever is behind.
MOST_ENTRY_BYTES = 256 * 1024
# A fetch without an answer is repeated elsewhere after this long; it is
# above the round trip between regions and below the 3 s goal.
FETCH_SECONDS = 0.8
# Each further fetch waits twice as long, up to this: a configuration of 0.8 MB
# takes more than a second on a small link, and every copy asked for meanwhile
# delays the first.
LONGEST_FETCH_SECONDS = 3.2
# A voter gets entries from its leader; it fetches only when that has not
# helped for this long.
VOTER_PATIENCE = 0.6


class CatchUp:
    """Serves and makes fetches of committed entries."""

    def __init__(self, core, neighbours):
        self._core = core
        self._neighbours = neighbours
        self._ahead = {}
        self._highest = 0
        self._asked = None
        self._asked_at = float("-inf")
        self._wait = FETCH_SECONDS
        self._behind_since = None
        self._encoded = (None, b"")

    def hear(self, name, applied):
        """Take note of how far another instance is."""
        self._ahead[name] = applied
        self._highest = max(self._highest, applied)

    def most(self, names):
        """Return the highest version heard of from any of ``names``."""
        return max((self._ahead.get(name, 0) for name in names), default=0)

    def tick(self, now):
        """Fetch where this instance is behind one that is reachable."""
        core = self._core
        sources = self._sources(now)
        if not sources or core.role is core_module.Role.LEADER:
            self._behind_since = None
            return
        if self._behind_since is None:
            self._behind_since = now
        patience = VOTER_PATIENCE if core.is_voter() else 0.0
        if now - self._behind_since < patience:
            return
        if now - self._asked_at < self._wait:
            return
        if self._asked is not None:
            self._wait = min(2 * self._wait, LONGEST_FETCH_SECONDS)
        self._ask(self._choose(sources), now)

    def _sources(self, now):
        """Return who is ahead and reachable, by name.

        Nearly always nobody is ahead, and who is reachable is not asked:
        that takes a look at every other instance.
        """
        commit = self._core.commit
        if self._highest <= commit:
            return []
        alive = self._neighbours.alive(now)
        self._ahead = {
            name: applied
            for name, applied in self._ahead.items()
            if name in alive
        }
        return [
            name for name in sorted(self._ahead) if self._ahead[name] > commit
        ]

    def _choose(self, sources):
        """Prefer the own failure domain, and whoever was not asked last."""
        near = self._neighbours.same_domain
        fresh = [name for name in sources if name != self._asked]
        pool = [name for name in fresh if near(name)] or fresh or sources
        return self._core.rng.choice(pool)

    def _ask(self, name, now):
        core = self._core
        self._asked = name
        self._asked_at = now
        core.send(name, messages.Fetch(core.log_id, core.commit))

    def fetch(self, source, message, now):
        """Serve a fetch, by entries or, for one far behind, a checkpoint.

        One that has nothing yet gets a checkpoint in any case: it also
        tells who the voters were at the beginning, which no entry does.
        """
        core = self._core
        if message.after >= core.commit:
            return
        if self._needs_checkpoint(message.after):
            reply = messages.CheckpointSent(
                core.log_id, records.msgspec.Raw(self._checkpoint())
            )
        else:
            most = min(BATCH, core.commit - message.after)
            found = core.log.after(message.after, most)
            reply = messages.Committed(core.log_id, found)
        core.send(source.instance, reply)

    def _needs_checkpoint(self, after):
        log = self._core.log
        if after < log.base or after == 0:
            return True
        several = self._core.commit > after + 1
        return (
            several
            and log.size_of(after, self._core.commit) > MOST_ENTRY_BYTES
        )

    def _checkpoint(self):
        """Return the encoded checkpoint, made once for all who ask."""
        core = self._core
        key = (core.commit, core.term)
        if self._encoded[0] != key:
            self._encoded = (key, records.encode(core.checkpoint()))
        return self._encoded[1]

    def committed(self, source, message, now):
        """Take in committed entries.

        Without the founders, which come with the first checkpoint, nobody
        could be told later who the voters are.  An own entry of another
        term at the same place was never committed and gives way, together
        with all that follows it.
        """
        core = self._core
        if not core.founders:
            return
        for entry in message.entries:
            if entry.index <= core.commit:
                core.check_committed(entry.index, entry.term)
                continue
            if entry.index > core.commit + 1:
                break
            self._accept(entry)
            core.advance(entry.index)
        self._answered(now)

    def _accept(self, entry):
        core = self._core
        if entry.term > core.term:
            core.step_down(entry.term)
        if core.log.term_at(entry.index) != entry.term:
            core.append(entry)

    def checkpoint(self, source, message, now):
        """Take in a checkpoint that is ahead."""
        core = self._core
        found = records.decode_checkpoint(bytes(message.checkpoint))
        if found.index > core.commit:
            core.install(found)
        self._answered(now)

    def _answered(self, now):
        """Go on at once after an answer."""
        self._asked_at = float("-inf")
        self._wait = FETCH_SECONDS
        self._asked = None
        self.tick(now)
