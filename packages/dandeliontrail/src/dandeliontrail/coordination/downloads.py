"""One budget of the weight store over all instances.

The store is rate-limited: twenty cold loads at once each take twenty times
as long, and the models of the people at the tank arrive last.  So each load
that downloads weights needs a slot, which the quorum log hands out.  Loads
are rare and last minutes, so that two log entries for each cost little.

The table knows no time.  A slot is named after its load (server, model and
version), and is freed when the load is reported or given up.  A successor
of a lost holder finds the slots of its predecessor here and frees them by
the same rule, so that the budget holds across a change of holder too.
"""

import enum

import msgspec

from .. import invariants


class DownloadStep(enum.Enum):
    """What an entry does about a load."""

    ASK = "ask"
    DONE = "done"


class DownloadEntry(msgspec.Struct, tag="download"):
    """A log entry: ask for a slot, or give back a slot or place.

    ``budget`` is the number of downloads at a time that the sender's
    settings allow; ``protected`` requests go before others.
    """

    step: DownloadStep
    failure_domain: str
    fencing: int
    order: str
    budget: int = 1
    protected: bool = False


class Slot(msgspec.Struct):
    """A slot in use, or a place in the line for one."""

    failure_domain: str
    fencing: int
    order: str
    protected: bool


class DownloadResult(msgspec.Struct):
    """Whether the load may start; ``ahead`` counts those before it."""

    granted: bool
    ahead: int = 0


class DownloadState(msgspec.Struct):
    """The table as a checkpoint holds it."""

    running: dict[str, Slot]
    line: dict[str, Slot]


class DownloadTable:
    """Slots in use and the line for them; a pure function of the log."""

    __slots__ = ("running", "line")

    def __init__(self):
        self.running = {}
        self.line = {}

    def apply(self, version, entry):
        """Apply the entry that the log has at ``version``."""
        if entry.step is DownloadStep.DONE:
            return self._give_back(entry)
        return self._ask(entry)

    def _ask(self, request):
        self._forget_places(request.failure_domain, request.fencing)
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
        ahead = self._ahead(key)
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

    def _give_back(self, done):
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

    def _ahead(self, key):
        """Count those in the line that are to be served before ``key``."""
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

    def _forget_places(self, failure_domain, fencing):
        """Drop the places in the line of earlier holders of a domain.

        A place is only worth something to who stands there.  Left behind
        by a holder that was lost, it would block those after it for good.
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
    """Return the name of the slot that an entry is about."""
    return f"{item.failure_domain}/{item.order}"
