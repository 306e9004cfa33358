"""Leader election, with at most one leader per term.

Before a replica increments its term, it asks whether it *would* be elected
(pre-vote, Ongaro 2014, section 9.6).  So an instance that returns from a
long partition does not depose a working leader: the others still hear that
leader and reject the pre-vote.
"""

from . import quorum_log_core as core_module
from . import quorum_log_entries as entries
from . import quorum_log_messages as messages

Role = core_module.Role

# Five heartbeats fit into the shortest election timeout, so that one lost
# batch does not start an election.  A failover takes 1 to 2 s, well within
# the 3 s in which a configuration change has to take effect.
HEARTBEAT_INTERVAL_SECONDS = 0.2
MIN_TIMEOUT_SECONDS = 1.0
TIMEOUT_JITTER_SECONDS = 1.0
# After a pre-vote that found no majority, or a vote that somebody refused,
# a keeper campaigns again after this delay plus a random part of the jitter.
# A new leader is heard before that.
RETRY_DELAY_SECONDS = 0.3
RETRY_JITTER_SECONDS = 0.4
# Of two candidates that refuse each other, the lesser name goes first.
TIE_BREAK_SECONDS = 0.1
# A keeper that shuts down campaigns only if no other one does.
LEAVING_DELAY_SECONDS = 1.0
# Long enough for the other founders to learn that the log was founded.
FOUNDER_DELAY_SECONDS = 0.3
# A keeper that has just restarted campaigns after this delay plus a random
# part of the jitter.  If all keepers restarted together there is no leader to
# wait for, and if there is one the pre-vote changes nothing.  This saves a
# second of every recovery.
RESTART_DELAY_SECONDS = 0.2
RESTART_JITTER_SECONDS = 0.5


class Election:
    """Campaigns for leadership and votes for other candidates."""

    def __init__(self, core, on_elected):
        self._core = core
        self._on_elected = on_elected
        self._votes = set()
        self._transfer = False
        self._repeat_at = float("-inf")
        self._deadline = None
        # Elections begun since the start of this process.
        self.begun = 0

    @property
    def votes(self):
        """The voters that have granted a vote in the present campaign."""
        return frozenset(self._votes)

    def reset_timeout(self, now):
        """Restart the election timeout with a new random length."""
        jitter = self._core.rng.random() * TIMEOUT_JITTER_SECONDS
        self._deadline = now + MIN_TIMEOUT_SECONDS + jitter

    def _set_first_timeout(self, now):
        """Set the first election timeout, which is shorter where possible."""
        log = self._core.log
        if log.last_index > 0:
            jitter = self._core.rng.random() * RESTART_JITTER_SECONDS
            self._deadline = now + RESTART_DELAY_SECONDS + jitter
            return
        self.reset_timeout(now)
        if log.voters[0] == self._core.own_voter:
            # In a new log, the first founder campaigns almost at once.
            self._deadline = now + FOUNDER_DELAY_SECONDS

    def tick(self, now):
        """Start an election once the election timeout has passed."""
        core = self._core
        if not core.may_campaign() or core.role is Role.LEADER:
            return
        if self._deadline is None:
            self._set_first_timeout(now)
        # A single voter does not wait for a leader.  As a candidate it waits
        # until its own vote is on the disk, like any other.
        must_wait = core.role is Role.CANDIDATE or core.other_voters()
        delay = LEAVING_DELAY_SECONDS if core.leaving else 0.0
        if now < self._deadline + delay and must_wait:
            self._repeat_requests(now)
            return
        self._retry_soon(now)
        core.leader = ""
        if core.role is not Role.PRE_CANDIDATE:
            self._votes = {core.own_voter}
        # A pre-vote that is repeated keeps the late answers to the one before.
        core.role = Role.PRE_CANDIDATE
        self._request_votes(now)

    def _retry_soon(self, now):
        jitter = self._core.rng.random() * RETRY_JITTER_SECONDS
        self._deadline = now + RETRY_DELAY_SECONDS + jitter

    def _campaign(self, now, transfer=False):
        """Enter the next term as a candidate and request votes."""
        core = self._core
        self.reset_timeout(now)
        core.leader = ""
        core.role = Role.CANDIDATE
        core.enter_term(core.term + 1, core.name, core.folder)
        self._transfer = transfer
        self._votes = {core.own_voter}
        self._request_votes(now)

    def handle_campaign_now(self, source, message, now):
        """Campaign at once, because the leader hands its role over."""
        core = self._core
        if core.role is Role.FOLLOWER and message.term == core.term:
            self._campaign(now, transfer=True)

    def _request_votes(self, now):
        """Begin an election, or its pre-vote, as the present role says."""
        if self._core.role is Role.PRE_CANDIDATE or self._transfer:
            self.begun += 1
        self._send_requests(now)
        self._count_votes(now)

    def _repeat_requests(self, now):
        """Ask again who has not granted a vote: its answer may be lost."""
        if self._core.role is Role.CANDIDATE and now >= self._repeat_at:
            self._send_requests(now)

    def _send_requests(self, now):
        core = self._core
        self._repeat_at = now + HEARTBEAT_INTERVAL_SECONDS
        pre = core.role is Role.PRE_CANDIDATE
        for voter in core.other_voters():
            if voter in self._votes:
                continue
            request = messages.VoteRequest(
                core.log_id,
                core.folder,
                core.term + 1 if pre else core.term,
                pre,
                core.log.last_index,
                core.log.last_term,
                voter.folder,
                self._transfer and not pre,
            )
            core.send_synced(voter.name, request)

    def _count_votes(self, now):
        core = self._core
        if not core.log.voter_set.has_quorum(
            lambda voter: voter in self._votes
        ):
            return
        if core.role is Role.PRE_CANDIDATE:
            self._campaign(now)
        elif core.role is Role.CANDIDATE:
            # The candidate's own vote counts only once it is on the disk.
            term = core.term
            core.when_synced(lambda: self._become_leader(term, now))

    def _become_leader(self, term, now):
        core = self._core
        if core.role is Role.CANDIDATE and core.term == term:
            self._on_elected(now)

    def handle_vote_request(self, source, message, now):
        """Reply to a vote or pre-vote request."""
        core = self._core
        if not self._is_asked(message):
            return
        hears_leader = (
            now - core.leader_heard_at < MIN_TIMEOUT_SECONDS and core.leader
        )
        if not message.transfer and (hears_leader or core.role is Role.LEADER):
            self._reply(source, message, False)
            return
        if message.pre:
            granted = message.term > core.term and self._is_up_to_date(message)
            self._reply(source, message, granted)
            return
        if message.term > core.term:
            core.step_down(message.term)
        granted = (
            message.term == core.term
            and self._is_free_for(source.instance, message.folder)
            and self._is_up_to_date(message)
        )
        if granted and not core.voted_for:
            core.enter_term(core.term, source.instance, message.folder)
            self.reset_timeout(now)
        self._reply(source, message, granted)

    def _is_free_for(self, name, folder):
        """Return whether the vote of this term is free, or this voter's.

        A keeper that lost its disk comes back as another voter.
        """
        core = self._core
        vote = (core.voted_for, core.voted_folder)
        return not core.voted_for or vote == (name, folder)

    def _is_asked(self, message):
        """Return whether this replica may vote on a request.

        A voter that does not know yet that it is one votes too: its vote may
        be needed to commit the entry that says so.
        """
        core = self._core
        named = message.voter and message.voter == core.folder
        return core.is_voter() or (named and not core.halted)

    def _is_up_to_date(self, message):
        """Return whether the candidate's log is at least as up to date.

        Logs are compared by the term, then by the index of the last entry.
        """
        log = self._core.log
        candidate = (message.last_term, message.last_index)
        return candidate >= (log.last_term, log.last_index)

    def _reply(self, source, message, granted):
        core = self._core
        term = message.term if granted else core.term
        reply = messages.VoteReply(
            core.log_id, core.folder, term, message.pre, granted
        )
        core.send_synced(source.instance, reply)

    def handle_vote_reply(self, source, message, now):
        """Count a vote or pre-vote."""
        core = self._core
        if not message.granted:
            self._handle_refusal(source, message, now)
            return
        expected_term = core.term
        if core.role is Role.PRE_CANDIDATE and message.pre:
            expected_term += 1
        elif core.role is not Role.CANDIDATE or message.pre:
            return
        if message.term == expected_term:
            voter = entries.Voter(source.instance, message.folder)
            self._votes.add(voter)
            self._count_votes(now)

    def _handle_refusal(self, source, message, now):
        """Campaign again soon if this vote may have been split.

        Of two candidates of one term that refuse each other, with the third
        voter down, neither can win, and neither knows.
        """
        core = self._core
        if message.term > core.term:
            core.step_down(message.term)
        elif core.role is Role.CANDIDATE and not message.pre:
            deadline = self._deadline
            self._retry_soon(now)
            if core.name < source.instance:
                self._deadline = now + TIE_BREAK_SECONDS
            self._deadline = min(deadline, self._deadline)
