"""How a stand-in engine takes orders: loads, roles, fencing, caches.

One kind refuses an order with an old fencing number, the other obeys
whoever asks, as the brief says of real deployments.  What was obeyed is
kept with the time and the number, so that a test can tell whether the
orders of two holders interleaved.
"""

import collections
import dataclasses
import time

import gevent
import msgspec

DEFAULT_LOAD_SECONDS = 0.2


class OrderBody(msgspec.Struct):
    """An order, as the contract has it."""

    order: str
    kind: str
    model: str = ""
    version: str = ""
    adapter: str = ""
    role: str = ""
    fencing: int = 0


@dataclasses.dataclass(slots=True)
class Obeyed:
    """An order that was obeyed, at ``at`` on the monotonic clock."""

    at: float
    body: OrderBody


class WeightStore:
    """The rate-limited store; ``most`` is the largest number at a time."""

    def __init__(self):
        self.downloads = 0
        self.now = 0
        self.most = 0

    def fetch(self, seconds):
        """Take as long as one download alone, times those at a time."""
        self.downloads += 1
        self.now += 1
        self.most = max(self.most, self.now)
        try:
            gevent.sleep(seconds * self.now)
        finally:
            self.now -= 1


class OrderDesk:
    """The models and the role of one engine, changed by orders."""

    def __init__(self, models, checks_fencing=True, store=None):
        self.models = [{"name": name, "version": "1"} for name in models]
        self.role = ""
        self.checks_fencing = checks_fencing
        self.load_seconds = DEFAULT_LOAD_SECONDS
        self.obeyed = []
        self.refused = 0
        self._store = store or WeightStore()
        self._highest = 0
        self._seen = set()

    def take(self, raw):
        """Take one order; return the HTTP status and the answer."""
        body = msgspec.json.decode(raw, type=OrderBody)
        if self.checks_fencing and body.fencing < self._highest:
            self.refused += 1
            return "409 Conflict", {"error": {"code": "stale_fencing"}}
        self._highest = max(self._highest, body.fencing)
        self.obeyed.append(Obeyed(time.monotonic(), body))
        if body.kind == "load":
            gevent.spawn(self._load, body)
        elif body.kind == "unload":
            self._unload(body)
        else:
            self.role = body.role
        return "202 Accepted", {"accepted": True}

    def _load(self, body):
        key = (body.model, body.version, body.adapter)
        if key in self._seen:
            return
        self._seen.add(key)
        try:
            self._store.fetch(self.load_seconds)
        finally:
            self._seen.discard(key)
        self._add(body)

    def _add(self, body):
        for item in self.models:
            same = item["name"] == body.model
            if same and item["version"] == body.version:
                self._add_adapter(item, body.adapter)
                return
        loaded = {"name": body.model, "version": body.version}
        self._add_adapter(loaded, body.adapter)
        self.models.append(loaded)

    def _add_adapter(self, item, adapter):
        adapters = item.setdefault("adapters", [])
        if adapter and adapter not in adapters:
            adapters.append(adapter)

    def _unload(self, body):
        self.models = [
            item
            for item in self.models
            if item["name"] != body.model or item["version"] != body.version
        ]


class PrefixCache:
    """A prefix cache of limited size that says what it stores and drops."""

    def __init__(self, entries):
        self._entries = entries
        self._held = collections.OrderedDict()
        self.sequence = 0
        self.events = []
        self.hits = 0

    def use(self, prefix_hash, tokens):
        """Look a prefix up, store it, and return the tokens saved."""
        saved = self._held.pop(prefix_hash, 0)
        self._held[prefix_hash] = tokens
        if saved:
            self.hits += 1
            return saved
        self._say("stored", prefix_hash, tokens)
        if len(self._held) > self._entries:
            old, old_tokens = self._held.popitem(last=False)
            self._say("removed", old, old_tokens)
        return 0

    def _say(self, kind, prefix_hash, tokens):
        self.events.append(
            {"kind": kind, "prefix_hash": prefix_hash, "tokens": tokens}
        )

    def take_batch(self):
        """Return the events not yet published and their first number."""
        events, self.events = self.events, []
        first = self.sequence
        self.sequence += len(events)
        return first, events
