"""How the holder of orders manages the download slots of the weight store.

A load holds a slot from before its order is sent until the load is known or
presumed to be over.  An engine that becomes silent may continue to download
for minutes.  Its slot is therefore kept until the engine reports the model,
reports that it was restarted, or the maximum duration of a load has passed.
Releasing it at once would overload the store just when engines come and go.
"""

import msgspec

from ..coordination import downloads
from ..decisions import model_orders
from . import placements

# A request for a slot, or for a place in the queue, is repeated after this
# time.
REQUEST_RETRY_SECONDS = 5.0


class _SlotRequest(msgspec.Struct):
    """A request for a slot, made at ``asked_at``."""

    asked_at: float
    granted: bool = False


class DownloadSlots:
    """Requests slots, tracks which are granted, and releases them.

    ``propose(entry, now, answered)`` proposes an entry to the quorum log.
    """

    def __init__(self, failure_domain, table, propose, budget):
        self._failure_domain = failure_domain
        self._table = table
        self._propose = propose
        self._budget = budget
        self._slots = {}
        self._lost_loads = {}

    def clear(self):
        """Clear this state; slots that are in use remain in the log."""
        self._slots.clear()
        self._lost_loads.clear()

    def knows(self, key):
        """Return whether this holder requested the slot or keeps it."""
        return key in self._slots or key in self._lost_loads

    def granted(self, order):
        """Return whether the slot of a load was granted."""
        slot = self._slots.get(order.key)
        return slot is not None and slot.granted

    def predecessors_slots(self):
        """Return the domain's slots that this holder did not request."""
        return [
            slot
            for slot in self._table.held_by(self._failure_domain)
            if not self.knows(slot.order)
        ]

    def ask(self, order, fencing, protected, now):
        """Request a slot, at most once per ``REQUEST_RETRY_SECONDS``."""
        slot = self._slots.get(order.key)
        if slot and now - slot.asked_at < REQUEST_RETRY_SECONDS:
            return []
        slot = _SlotRequest(now)
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
        """Release the slot, or the place in the queue, of a load."""
        self._slots.pop(key, None)
        self._lost_loads.pop(key, None)
        entry = downloads.DownloadEntry(
            downloads.DownloadStep.DONE, self._failure_domain, fencing, key
        )
        return self._propose(entry, now, _no_effects)

    def keep_for_lost_load(self, item):
        """Keep the slot of a load whose engine became silent."""
        self._slots.pop(item.order.key, None)
        self._lost_loads[item.order.key] = item

    def settle(self, engines, now):
        """Release the slots of silent engines whose loads are over."""
        out = []
        for key, item in list(self._lost_loads.items()):
            if is_over(item, engines, now):
                out.extend(self.give_back(key, item.fencing, now))
        return out

    def drop_unplanned(self, planned, fencing, now):
        """Release the slots and queue places of loads no longer wanted.

        An abandoned place would block the queue behind it forever.
        """
        out = []
        for key in [key for key in self._slots if key not in planned]:
            out.extend(self.give_back(key, fencing, now))
        return out


def is_over(item, engines, now):
    """Return whether a load is known or presumed to be over."""
    announcement = engines.get(item.order.server)
    if announcement and 0 <= item.epoch < announcement.epoch:
        return True
    if placements.is_fulfilled(item.order, engines):
        return True
    return now - item.given_at > model_orders.MAX_LOAD_SECONDS


def _no_effects(settled, now):
    return []
