"""Catch-up: instances that are behind fetch entries from one that is ahead.

Committed entries never change, so any instance may forward them and any
instance may apply them, keeper or not.  An instance therefore fetches from a
peer in its own failure domain where it can, and in a partitioned failure
domain a restarted instance recovers everything that the domain had.
"""

from . import quorum_log_core as core_module
from . import quorum_log_messages as messages
from . import quorum_log_records as records

MAX_FETCH_ENTRIES = 256
# If the missing entries are larger than this, a checkpoint is sent instead: of
# many whole configurations in a row, only the last is useful to an instance
# that is behind.
MAX_FETCH_BYTES = 256 * 1024
# An unanswered fetch is retried, preferably at another instance, after this
# long.  It is longer than the round trip between regions and shorter than the
# 3 s in which a change has to take effect.
FETCH_TIMEOUT_SECONDS = 0.8
# The timeout doubles with each retry, up to this limit: a configuration of
# 0.8 MB takes more than a second on a slow link, and every copy requested
# meanwhile delays the first.
MAX_FETCH_TIMEOUT_SECONDS = 3.2
# A voter receives entries from its leader; it fetches only after it has been
# behind for this long.
VOTER_FETCH_DELAY_SECONDS = 0.6


class CatchUp:
    """Fetches committed entries and serves the fetches of others."""

    def __init__(self, core, neighbours):
        self._core = core
        self._neighbours = neighbours
        self._applied_by_instance = {}
        self._highest_applied = 0
        self._fetch_source = None
        self._fetch_sent_at = float("-inf")
        self._fetch_timeout = FETCH_TIMEOUT_SECONDS
        self._behind_since = None
        self._encoded_checkpoint = (None, b"")

    def record_progress(self, name, applied):
        """Record the applied index that another instance reported."""
        self._applied_by_instance[name] = applied
        self._highest_applied = max(self._highest_applied, applied)

    def highest_applied(self, names):
        """Return the highest applied index reported by any of ``names``."""
        return max(
            (self._applied_by_instance.get(name, 0) for name in names),
            default=0,
        )

    def tick(self, now):
        """Send a fetch if a reachable instance is ahead and one is due."""
        core = self._core
        sources = self._reachable_sources(now)
        if not sources or core.role is core_module.Role.LEADER:
            self._behind_since = None
            return
        if self._behind_since is None:
            self._behind_since = now
        delay = VOTER_FETCH_DELAY_SECONDS if core.is_voter() else 0.0
        if now - self._behind_since < delay:
            return
        if now - self._fetch_sent_at < self._fetch_timeout:
            return
        if self._fetch_source is not None:
            self._fetch_timeout = min(
                2 * self._fetch_timeout, MAX_FETCH_TIMEOUT_SECONDS
            )
        self._send_fetch(self._choose_source(sources), now)

    def _reachable_sources(self, now):
        """Return the sorted names of reachable instances that are ahead.

        Usually no instance is ahead.  Reachability is then not looked up,
        because that visits every other instance.
        """
        commit = self._core.commit
        if self._highest_applied <= commit:
            return []
        alive = self._neighbours.alive(now)
        self._applied_by_instance = {
            name: applied
            for name, applied in self._applied_by_instance.items()
            if name in alive
        }
        return [
            name
            for name in sorted(self._applied_by_instance)
            if self._applied_by_instance[name] > commit
        ]

    def _choose_source(self, sources):
        """Choose a source at random.

        Sources other than that of the last fetch are preferred, and among
        these the sources in the same failure domain.
        """
        same_domain = self._neighbours.same_domain
        others = [name for name in sources if name != self._fetch_source]
        candidates = (
            [name for name in others if same_domain(name)] or others or sources
        )
        return self._core.rng.choice(candidates)

    def _send_fetch(self, name, now):
        core = self._core
        self._fetch_source = name
        self._fetch_sent_at = now
        core.send(name, messages.Fetch(core.log_id, core.commit))

    def handle_fetch(self, source, message, now):
        """Answer a fetch with entries or, far behind, with a checkpoint.

        An instance without any entry always gets a checkpoint, because only
        a checkpoint names the initial voters.
        """
        core = self._core
        if message.after >= core.commit:
            return
        if self._needs_checkpoint(message.after):
            reply = messages.CheckpointSent(
                core.log_id, records.msgspec.Raw(self._checkpoint())
            )
        else:
            max_entries = min(MAX_FETCH_ENTRIES, core.commit - message.after)
            found = core.log.entries_after(message.after, max_entries)
            reply = messages.Committed(core.log_id, found)
        core.send(source.instance, reply)

    def _needs_checkpoint(self, after):
        log = self._core.log
        if after < log.base or after == 0:
            return True
        several = self._core.commit > after + 1
        return (
            several
            and log.bytes_between(after, self._core.commit) > MAX_FETCH_BYTES
        )

    def _checkpoint(self):
        """Return the encoded checkpoint, cached until the state changes."""
        core = self._core
        key = (core.commit, core.term)
        if self._encoded_checkpoint[0] != key:
            self._encoded_checkpoint = (
                key,
                records.encode(core.make_checkpoint()),
            )
        return self._encoded_checkpoint[1]

    def handle_committed(self, source, message, now):
        """Apply committed entries that another instance sent.

        They are ignored until the founders are known, which come with the
        first checkpoint: without them this instance could not tell others
        who the initial voters are.  A local entry with another term at the
        same index was never committed and is truncated, with all that follow.
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
            self._append_committed(entry)
            core.advance_commit(entry.index)
        self._fetch_answered(now)

    def _append_committed(self, entry):
        core = self._core
        if entry.term > core.term:
            core.step_down(entry.term)
        if core.log.term_at(entry.index) != entry.term:
            core.append(entry)

    def handle_checkpoint(self, source, message, now):
        """Install a received checkpoint if it is ahead."""
        core = self._core
        found = records.decode_checkpoint(bytes(message.checkpoint))
        if found.index > core.commit:
            core.install_checkpoint(found)
        self._fetch_answered(now)

    def _fetch_answered(self, now):
        """Reset the timeout and, if still behind, fetch again at once."""
        self._fetch_sent_at = float("-inf")
        self._fetch_timeout = FETCH_TIMEOUT_SECONDS
        self._fetch_source = None
        self.tick(now)
