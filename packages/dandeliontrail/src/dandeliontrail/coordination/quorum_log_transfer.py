"""Handing leadership to another voter without an election timeout.

The leader asks a voter that has the whole log to campaign at once (Ongaro,
"Consensus: Bridging Theory and Practice", 2014, section 3.10).  Meanwhile it
holds new proposals back: under steady writes no other voter ever has the whole
log.  If nobody takes over in time, the leader goes on with them.
"""

import msgspec

from . import quorum_log_core as core_module
from . import quorum_log_messages as messages

# A voter that has replied this recently can take over.
HEARD_SECONDS = 1.0
# How long proposals are held back for one attempt, and how soon another one
# may follow: writes go on for most of the time.
HOLD_SECONDS = 0.3
ATTEMPT_INTERVAL_SECONDS = 0.6


class HeldProposal(msgspec.Struct):
    """A proposal that waits for the end of a transfer."""

    body: object
    proposal_id: str


class Transfer:
    """The attempts of a leader to hand its role over.

    ``progress_of(voter)`` returns the replication progress of a voter, or
    ``None``.
    """

    def __init__(self, core, progress_of):
        self._core = core
        self._progress_of = progress_of
        self._target = None
        self._held = []
        self._hold_until = float("-inf")
        self._next_attempt_at = float("-inf")

    def reset(self):
        """Forget all attempts, at the start of a leadership."""
        self._target = None
        self._held = []
        self._hold_until = float("-inf")
        self._next_attempt_at = float("-inf")

    def candidates(self, now):
        """Return the voters that could take over, the likeliest first.

        They have replied lately and do not shut down themselves.  Of two, the
        one that replied last is less likely to be gone.
        """
        core = self._core
        if core.role is not core_module.Role.LEADER:
            return []
        found = []
        for voter in core.log.voter_set.incoming:
            peer = self._progress_of(voter)
            if voter == core.own_voter or peer is None or peer.leaving:
                continue
            if now - peer.heard_at < HEARD_SECONDS:
                found.append(voter)
        return sorted(found, key=self._heard_at, reverse=True)

    def _heard_at(self, voter):
        return self._progress_of(voter).heard_at

    def begin(self, now):
        """Start an attempt; return the voter that is to lead, or ``None``."""
        if now < self._next_attempt_at:
            return None
        candidates = self.candidates(now)
        if not candidates:
            return None
        self._target = candidates[0]
        self._hold_until = now + HOLD_SECONDS
        self._next_attempt_at = now + ATTEMPT_INTERVAL_SECONDS
        self.advance(now)
        return self._target

    def advance(self, now):
        """Ask the chosen voter to campaign once it has the whole log."""
        core = self._core
        if self._target is None or now >= self._hold_until:
            return
        peer = self._progress_of(self._target)
        if peer is None or peer.match_index < core.log.last_index:
            return
        request = messages.CampaignNow(core.log_id, core.term)
        core.send(self._target.name, request)
        self._target = None

    def hold(self, body, proposal_id, now):
        """Hold a proposal back if a transfer is in progress."""
        if now >= self._hold_until:
            return False
        self._held.append(HeldProposal(body, proposal_id))
        return True

    def take_held(self, now):
        """Return the held proposals once the attempt has failed."""
        if not self._held or now < self._hold_until:
            return []
        held, self._held = self._held, []
        return held
