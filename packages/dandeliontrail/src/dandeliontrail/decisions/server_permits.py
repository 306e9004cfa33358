"""The permits of this instance for one server that names a limit.

It remembers what this instance asked the server's holder for and what the
holder owes, decides when the next ask is due, and uses this instance's part of
the limit while the holder is silent.
"""

import collections

import msgspec

# A permit is used within this many seconds of its arrival, and within this
# many of the ask that it answers.
USE_SECONDS = 0.75
MAX_ANSWER_SECONDS = 2.5
# An ask is repeated after this many seconds, or sooner if what is wanted has
# changed.  While the holder owes nothing, the next ask may follow at once.
REPEAT_SECONDS = 0.4
CHANGED_SECONDS = 0.2
FIRST_SECONDS = 0.02
# An instance with more requests for a brittle server may use a place again,
# without asking, for up to the first figure after it was granted, and within
# the second of its release.
REUSE_SECONDS = 0.5
REUSE_USE_SECONDS = 0.05
# A holder that leaves asks without an answer for this long is silent.
SILENT_SECONDS = 1.0


class Permit(msgspec.Struct):
    """Allows one request, only of priority ``reserved`` if there is one.

    ``granted_at`` is when it came from the holder.
    """

    use_by: float
    reserved: int | None = None
    granted_at: float = 0.0


class Part(msgspec.Struct):
    """The part of a limit that this instance uses without a holder.

    ``share`` is a fraction of the limit.  ``phase``, from 0 to 1, is
    different for each instance, so that their requests are spread over time.
    """

    share: float
    phase: float


class Estimate(msgspec.Struct):
    """What the holder last said; ``outlooks`` are by priority."""

    at: float
    next_in: float
    outlooks: dict


class ServerPermits:
    """The permits for one server and the asks for more."""

    __slots__ = (
        "epoch",
        "permits",
        "wants",
        "spent",
        "estimate",
        "sent",
        "owed",
        "asked_at",
        "asked_priority",
        "unanswered_since",
        "granting",
        "part",
        "part_tokens",
        "part_filled_at",
        "running",
        "reported",
        "seen",
        "seen_from",
        "rate",
    )

    def __init__(self, epoch):
        self.epoch = epoch
        self.permits = collections.deque()
        self.wants = {}
        self.spent = 0
        self.estimate = None
        # When the asks were sent, by number.
        self.sent = {}
        self.owed = 0
        self.asked_at = float("-inf")
        # The most urgent priority of the last ask.
        self.asked_priority = float("inf")
        self.unanswered_since = None
        self.granting = True
        # The part in use while the holder is silent, and its tokens, ``None``
        # before its first use.
        self.part = None
        self.part_tokens = None
        self.part_filled_at = 0.0
        # Of a brittle server: the requests that use a place, with the time of
        # its grant, how many places the holder was last told of, the serial of
        # the last grant and the holder that it is of, and the issued rate.
        self.running = {}
        self.reported = 0
        self.seen = 0
        self.seen_from = None
        self.rate = 0.0

    def in_use(self):
        """Return how many places are used or have a permit."""
        return len(self.running) + len(self.permits)

    def release(self, request_id, now):
        """Free the place of a request, or keep it for one that waits here."""
        granted_at = self.running.pop(request_id, None)
        if granted_at is None or not self.wants:
            return
        if now - granted_at < REUSE_SECONDS:
            use_by = now + REUSE_USE_SECONDS
            self.permits.appendleft(Permit(use_by, None, granted_at))

    def seen_of(self, holder):
        """Return the serial of the last grant of the instance ``holder``."""
        if self.seen_from is None or self.seen_from[0] != holder:
            return 0
        return self.seen

    def wanted(self):
        """Return how many permits are wanted."""
        return sum(self.wants.values())

    def is_due(self, now):
        """Return whether an ask is due."""
        since = now - self.asked_at
        if self.spent:
            return since >= CHANGED_SECONDS
        wanted = self.wanted()
        if self.in_use() < self.reported:
            # Others wait for the place.
            return True
        if self.in_use() and since >= REPEAT_SECONDS:
            return True
        if not wanted:
            # Withdraws the last ask: a permit for a request that has been
            # refused meanwhile would be lost.
            return self.owed > 0 and since >= FIRST_SECONDS
        if not self.owed or min(self.wants) < self.asked_priority:
            return since >= FIRST_SECONDS
        if wanted != self.owed:
            return since >= CHANGED_SECONDS
        return since >= REPEAT_SECONDS

    def is_silent(self, now):
        """Return whether the holder is silent, or does not grant anything."""
        if not self.granting:
            return True
        since = self.unanswered_since
        return since is not None and now - since >= SILENT_SECONDS

    def find(self, priority, now):
        """Return the permit for a request: a reserved one comes first."""
        found = None
        for permit in self.permits:
            if now > permit.use_by:
                continue
            if permit.reserved == priority:
                return permit
            if permit.reserved is None and found is None:
                found = permit
        return found

    def record_ask(self, number, now):
        """Record that the holder is asked for what is wanted now."""
        self.sent[number] = now
        self.reported = self.in_use()
        self.asked_at = now
        self.owed = self.wanted()
        self.asked_priority = min(self.wants, default=float("inf"))
        if self.owed and self.unanswered_since is None:
            self.unanswered_since = now

    def add(self, grant, holder, sent_at, now):
        """Add the permits of a grant; return how many there were.

        ``holder`` is the name and incarnation of its sender, ``sent_at`` when
        the ask was sent that it answers.
        """
        self.unanswered_since = None
        self.granting = grant.granting
        if holder != self.seen_from:
            self.seen_from = holder
            self.seen = 0
        if not grant.granting:
            return 0
        self.part = None
        outlooks = {item.priority: item for item in grant.outlooks}
        self.estimate = Estimate(now, grant.next_in, outlooks)
        use_by = min(now + USE_SECONDS, sent_at + MAX_ANSWER_SECONDS)
        self.permits.extend([Permit(use_by, None, now)] * grant.count)
        self.permits.extend(
            Permit(use_by, item, now) for item in grant.reserved
        )
        self.seen = max(self.seen, grant.serial)
        self.rate = grant.rate
        count = grant.count + len(grant.reserved)
        self.owed = max(0, self.owed - count)
        return count

    def drop_expired(self, now):
        """Drop what has expired; return how many permits that were."""
        count = 0
        while self.permits and now > self.permits[0].use_by:
            self.permits.popleft()
            count += 1
        for number, sent_at in list(self.sent.items()):
            if now - sent_at > MAX_ANSWER_SECONDS:
                del self.sent[number]
        return count

    def use_places(self, places, now):
        """Use up to ``places`` of a brittle server; return how many came."""
        if self.in_use() >= places or not self.wants:
            return False
        self.permits.append(Permit(now + USE_SECONDS, None, now))
        return True

    def use_part(self, part, rate, now):
        """Use ``part`` of ``rate``; return whether that gave a permit."""
        if self.part_tokens is None:
            self.part_tokens = part.phase
        if self.part is None:
            self.part_filled_at = now
        self.part = part
        gained = (now - self.part_filled_at) * rate * part.share
        self.part_tokens = min(1.0, self.part_tokens + gained)
        self.part_filled_at = now
        if self.part_tokens < 1.0 or not self.wants:
            return False
        self.part_tokens -= 1.0
        self.permits.append(Permit(now + USE_SECONDS))
        return True
