"""A limit on concurrent downloads from the weight store, for all instances.

The store is rate-limited: with twenty cold loads at once, each takes twenty
times as long, and the most urgently needed models may arrive last.  So each
load that downloads weights needs a slot, which the quorum log grants.  Loads
are rare and last minutes, so two log entries for each cost little.

The table holds no times.  A slot is named after its load (server, model and
version) and is released when the load is reported done or given up.  The
successor of a lost lease holder finds its predecessor's slots here and
releases them by the same rule, so the limit also holds across a change of
holder.
"""

import enum

import msgspec

from .. import invariants


class DownloadStep(enum.Enum):
    """Whether an entry requests or releases the slot of a load."""

    ASK = "ask"
    DONE = "done"


class DownloadEntry(msgspec.Struct, tag="download"):
    """A log entry: requests a slot, or releases a slot or a queue place.

    ``budget`` is the number of concurrent downloads that the sender's
    settings allow; ``protected`` requests are served before others.
    ``fencing`` is the fencing token of the failure domain's lease holder.
    """

    step: DownloadStep
    failure_domain: str
    fencing: int
    order: str
    budget: int = 1
    protected: bool = False


class Slot(msgspec.Struct):
    """A slot in use, or a place in the queue for one."""

    failure_domain: str
    fencing: int
    order: str
    protected: bool


class DownloadResult(msgspec.Struct):
    """Whether the load may start, and how many are ``ahead`` in the queue."""

    granted: bool
    ahead: int = 0


class DownloadState(msgspec.Struct):
    """The state of the table in a checkpoint."""

    running: dict[str, Slot]
    line: dict[str, Slot]


class DownloadTable:
    """The slots in use and the queue, as a replicated state machine.

    The table is a deterministic function of the log.  ``line`` is the queue,
    in the order of arrival.
    """

    __slots__ = ("running", "line")

    def __init__(self):
        self.running = {}
        self.line = {}

    def apply(self, version, entry):
        """Apply the entry at log position ``version``."""
        if entry.step is DownloadStep.DONE:
            return self._release(entry)
        return self._request(entry)

    def _request(self, request):
        self._remove_stale_places(request.failure_domain, request.fencing)
        key = slot_key(request)
        if key in self.running:
            return DownloadResult(True)
        slot = Slot(
            request.failure_domain,
            request.fencing,
            request.order,
            request.protected,
        )
        self.line.setdefault(key, slot)
        ahead = self._count_ahead(key)
        if len(self.running) + ahead >= request.budget:
            return DownloadResult(False, ahead)
        del self.line[key]
        self.running[key] = slot
        invariants.check(
            len(self.running) <= request.budget,
            "weight-store-budget",
            f"{len(self.running)} of {request.budget}",
        )
        return DownloadResult(True)

    def _release(self, done):
        key = slot_key(done)
        self.running.pop(key, None)
        self.line.pop(key, None)
        return DownloadResult(False)

    def held_by(self, failure_domain):
        """Return the slots in use for a failure domain."""
        return [
            slot
            for slot in self.running.values()
            if slot.failure_domain == failure_domain
        ]

    def _count_ahead(self, key):
        """Return how many in the queue are to be served before ``key``."""
        own = self.line[key]
        count = 0
        before = True
        for other_key, other in self.line.items():
            if other_key == key:
                before = False
                continue
            if other.protected != own.protected:
                count += other.protected
            else:
                count += before
        return count

    def _remove_stale_places(self, failure_domain, fencing):
        """Remove the queue places of earlier lease holders of a domain.

        Only the lease holder that queued can use a place.  If the holder is
        lost, its place would block the loads behind it for ever.
        """
        stale = [
            key
            for key, slot in self.line.items()
            if slot.failure_domain == failure_domain and slot.fencing < fencing
        ]
        for key in stale:
            del self.line[key]

    def snapshot(self):
        """Return the state for a checkpoint."""
        return DownloadState(self.running, self.line)

    def restore(self, held):
        """Take over the state of a checkpoint."""
        state = msgspec.convert(held, DownloadState)
        self.running = state.running
        self.line = state.line


def slot_key(item):
    """Return the key of the slot that an entry or a slot refers to."""
    return f"{item.failure_domain}/{item.order}"
