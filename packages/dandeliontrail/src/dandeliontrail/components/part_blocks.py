"""Which parts of prompts an instance blocks now, and when it tries them.

The verdicts are computed anew when the table of ended servers has changed,
and a few times a second while there are any.
"""

import collections
import hashlib

from .. import effects
from ..decisions import crash_parts

# In a crash with many requests each report changes the table.
MIN_AGE_SECONDS = 0.1
# Verdicts also depend on the time and on which servers are alive, for some
# seconds after a change.
MAX_AGE_SECONDS = 0.2
SETTLE_SECONDS = 3.0
SETTLED_MAX_AGE_SECONDS = 1.0
# A request that tries a blocked part has this long until others may.
TRIAL_TIMEOUT_SECONDS = 10.0
# How many ids of parts are kept for the log, the latest ones.
MAX_PART_NAMES = 4096
MAX_NAME_CHARACTERS = 64


class PartBlocks:
    """Keeps the verdicts of this instance and its trials of blocked parts."""

    def __init__(self, state):
        self._state = state
        self._verdicts = {}
        self._is_stale = False
        self._changed_at = float("-inf")
        self._assessed_at = float("-inf")
        self._known = {}
        self._blocked = set()
        self._has_changed = False
        self._names = collections.OrderedDict()
        # The request that tries a part, and since when.
        self._trials = {}

    def note_change(self):
        """Have the verdicts computed anew."""
        self._is_stale = True

    def verdicts(self, now):
        """Return the present verdicts by fingerprint."""
        if now - self._assessed_at >= self._max_age(now):
            self._is_stale = False
            self._assessed_at = now
            self._verdicts = crash_parts.assess(
                self._state.ends, self._state.registry, now
            )
        return self._verdicts

    def _max_age(self, now):
        """Return the age in seconds from which on verdicts are renewed."""
        if self._is_stale:
            self._changed_at = now
            return MIN_AGE_SECONDS
        if not self._verdicts:
            return float("inf")
        if now - self._changed_at < SETTLE_SECONDS:
            return MAX_AGE_SECONDS
        return SETTLED_MAX_AGE_SECONDS

    def blocks(self, work, now):
        """Return whether a part of a request blocks it.

        A part whose trial is due lets one request pass.
        """
        if not work.part_fingerprints or not self.verdicts(now):
            return False
        all_fingerprints = crash_parts.fingerprints_of(work)
        blocking = [
            fingerprint
            for fingerprint in all_fingerprints
            if fingerprint in self._verdicts
            and self._verdicts[fingerprint].blocks(all_fingerprints)
        ]
        return any(
            not self._may_try(
                fingerprint, all_fingerprints, work.request_id, now
            )
            for fingerprint in blocking
        )

    def _may_try(self, fingerprint, request_fingerprints, request_id, now):
        """Return whether a request is the one that tries a blocked part."""
        verdict = self._verdicts[fingerprint]
        wait = verdict.trial_seconds(request_fingerprints)
        if now < verdict.last + wait * (1.0 + self._turn(fingerprint)):
            self._trials.pop(fingerprint, None)
            return False
        trial = self._trials.get(fingerprint)
        if trial is None or now - trial[1] >= TRIAL_TIMEOUT_SECONDS:
            trial = self._trials[fingerprint] = (request_id, now)
        return trial[0] == request_id

    def _turn(self, fingerprint):
        """Return when it is this instance's turn, as a share of the wait."""
        text = f"{fingerprint} {self._state.identity.instance}"
        digest = hashlib.blake2b(text.encode(), digest_size=4).digest()
        share = int.from_bytes(digest, "big") / 2**32
        return share * crash_parts.TRIAL_SPREAD

    def note_names(self, work):
        """Remember which part a fingerprint stands for, for the log."""
        if not work.parts:
            return
        for fingerprint, name in zip(
            work.part_fingerprints,
            dict.fromkeys(name for name, _ in work.parts[:-1]),
        ):
            self._names[fingerprint] = (
                work.organisation,
                name[:MAX_NAME_CHARACTERS],
            )
            self._names.move_to_end(fingerprint)
            if len(self._names) > MAX_PART_NAMES:
                self._names.popitem(last=False)

    def update(self, now):
        """Return log effects for parts that were blocked or released."""
        before, verdicts = self._known, self.verdicts(now)
        if verdicts == before:
            return []
        self._known = verdicts
        self._has_changed = True
        blocked = {
            fingerprint
            for fingerprint, verdict in verdicts.items()
            if verdict.blocks(verdict.other_suspects())
        }
        out = [
            self._log_effect(fingerprint, fingerprint in blocked)
            for fingerprint in sorted(blocked ^ self._blocked)
        ]
        self._blocked = blocked
        return out

    def take_changed(self):
        """Return whether verdicts have changed since the last call."""
        has_changed, self._has_changed = self._has_changed, False
        return has_changed

    def _log_effect(self, fingerprint, is_blocked):
        fields = {
            "fingerprint": fingerprint,
            "held": is_blocked,
            "important": True,
        }
        name = self._names.get(fingerprint)
        if name is not None:
            fields["organisation"], fields["part"] = name
        verdict = self._verdicts.get(fingerprint)
        if verdict is not None:
            fields["ended_servers"] = sorted(
                name for name, _ in verdict.crashed
            )
            fields["only_beside"] = sorted(verdict.other_suspects())
        return effects.Log("warning", "prompt part held back", fields)
