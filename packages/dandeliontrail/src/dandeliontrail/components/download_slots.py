"""The holder's side of the weight store's budget.

A slot belongs to a load from before the order is given until the load is
over, as far as anybody can tell.  An engine that falls silent may go on
downloading for minutes, so its slot is kept until the engine shows the
model, shows that it was restarted, or the longest load is over: giving it
back at once would overload the store just when engines come and go.
"""

import msgspec

from ..coordination import downloads
from ..decisions import model_orders
from . import placements

# A slot or a place in the line is asked for again after this long.
ASK_AGAIN = 5.0


class _Slot(msgspec.Struct):
    """A slot that was asked for at ``asked_at``."""

    asked_at: float
    granted: bool = False


class DownloadSlots:
    """Asks for slots, knows which are granted, and gives them back.

    ``propose(entry, now, answered)`` puts an entry into the quorum log.
    """

    def __init__(self, failure_domain, table, propose, budget):
        self._failure_domain = failure_domain
        self._table = table
        self._propose = propose
        self._budget = budget
        self._slots = {}
        self._silent = {}

    def clear(self):
        """Forget all; what the log holds is found there again."""
        self._slots.clear()
        self._silent.clear()

    def knows(self, key):
        """Tell whether this holder asked for the slot or watches it."""
        return key in self._slots or key in self._silent

    def granted(self, order):
        """Tell whether the load may be ordered."""
        slot = self._slots.get(order.key)
        return slot is not None and slot.granted

    def of_predecessors(self):
        """Return the slots in use that this holder knows nothing of."""
        return [
            slot
            for slot in self._table.held_by(self._failure_domain)
            if not self.knows(slot.order)
        ]

    def ask(self, order, fencing, protected, now):
        """Ask for a slot, unless that was done just now."""
        slot = self._slots.get(order.key)
        if slot and now - slot.asked_at < ASK_AGAIN:
            return []
        slot = _Slot(now)
        self._slots[order.key] = slot
        entry = downloads.DownloadEntry(
            downloads.DownloadStep.ASK,
            self._failure_domain,
            fencing,
            order.key,
            self._budget,
            protected,
        )

        def answered(settled, later):
            result = settled.result
            slot.granted = result is not None and result.granted
            return []

        return self._propose(entry, now, answered)

    def give_back(self, key, fencing, now):
        """Free the slot, or the place in the line, of a load."""
        self._slots.pop(key, None)
        self._silent.pop(key, None)
        entry = downloads.DownloadEntry(
            downloads.DownloadStep.DONE, self._failure_domain, fencing, key
        )
        return self._propose(entry, now, _ignore)

    def watch(self, item):
        """Keep the slot of a load whose engine fell silent."""
        self._slots.pop(item.order.key, None)
        self._silent[item.order.key] = item

    def settle(self, engines, now):
        """Give back the slots of silent engines that are over."""
        out = []
        for key, item in list(self._silent.items()):
            if is_over(item, engines, now):
                out.extend(self.give_back(key, item.fencing, now))
        return out

    def drop_unplanned(self, planned, fencing, now):
        """Leave the line for loads that are no longer wanted.

        A place left behind would keep those after it waiting for good.
        """
        out = []
        for key in [key for key in self._slots if key not in planned]:
            out.extend(self.give_back(key, fencing, now))
        return out


def is_over(item, engines, now):
    """Tell whether a load is over for sure, or for all that is known."""
    announcement = engines.get(item.order.server)
    if announcement and 0 <= item.epoch < announcement.epoch:
        return True
    if placements.is_seen(item.order, engines):
        return True
    return now - item.given_at > model_orders.LONGEST_LOAD


def _ignore(settled, now):
    return []
