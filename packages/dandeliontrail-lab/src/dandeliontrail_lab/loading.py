"""Model loading, role orders and prefix caches of a simulated engine.

Some engines reject an order with an outdated fencing token, others execute
every order, as in real deployments.  Executed orders are recorded with their
time and fencing token, so that a test can detect that the orders of two
lease holders interleaved.
"""

import collections
import dataclasses
import time

import gevent
import msgspec

DEFAULT_LOAD_SECONDS = 0.2


class OrderBody(msgspec.Struct):
    """The body of an order to an engine.

    ``fencing`` is the fencing token of the lease holder that sent it.
    """

    order: str
    kind: str
    model: str = ""
    version: str = ""
    adapter: str = ""
    role: str = ""
    fencing: int = 0


@dataclasses.dataclass(slots=True)
class ExecutedOrder:
    """An order that was executed at ``at`` on the monotonic clock."""

    at: float
    body: OrderBody


class WeightStore:
    """A rate-limited store of model weights.

    ``active`` is the number of concurrent downloads, ``max_active`` its
    maximum so far.
    """

    def __init__(self):
        self.downloads = 0
        self.active = 0
        self.max_active = 0

    def fetch(self, seconds):
        """Download weights, which takes ``seconds`` if no other download runs.

        The duration is multiplied by the number of downloads active at its
        start.
        """
        self.downloads += 1
        self.active += 1
        self.max_active = max(self.max_active, self.active)
        try:
            gevent.sleep(seconds * self.active)
        finally:
            self.active -= 1


class OrderDesk:
    """Executes orders that change the models and the role of one engine."""

    def __init__(self, models, checks_fencing=True, store=None):
        self.models = [{"name": name, "version": "1"} for name in models]
        self.role = ""
        self.checks_fencing = checks_fencing
        self.load_seconds = DEFAULT_LOAD_SECONDS
        self.obeyed = []
        self.refused = 0
        self._store = store or WeightStore()
        self._highest_fencing = 0
        self._loading = set()

    def take(self, raw):
        """Handle one order; return the HTTP status and the response.

        An order with an outdated fencing token is rejected with status 409
        if the engine checks fencing.
        """
        body = msgspec.json.decode(raw, type=OrderBody)
        if self.checks_fencing and body.fencing < self._highest_fencing:
            self.refused += 1
            return "409 Conflict", {"error": {"code": "stale_fencing"}}
        self._highest_fencing = max(self._highest_fencing, body.fencing)
        self.obeyed.append(ExecutedOrder(time.monotonic(), body))
        if body.kind == "load":
            gevent.spawn(self._load, body)
        elif body.kind == "unload":
            self._unload(body)
        else:
            self.role = body.role
        return "202 Accepted", {"accepted": True}

    def _load(self, body):
        key = (body.model, body.version, body.adapter)
        if key in self._loading:
            return
        self._loading.add(key)
        try:
            self._store.fetch(self.load_seconds)
        finally:
            self._loading.discard(key)
        self._add(body)

    def _add(self, body):
        for item in self.models:
            same_model = item["name"] == body.model
            if same_model and item["version"] == body.version:
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
    """A prefix cache with LRU eviction that records stores and removals."""

    def __init__(self, entries):
        self._max_entries = entries
        self._tokens_by_prefix = collections.OrderedDict()
        self.sequence = 0
        self.events = []
        self.hits = 0

    def access(self, prefix_hash, tokens):
        """Look up a prefix and store it; return the prompt tokens saved."""
        saved = self._tokens_by_prefix.pop(prefix_hash, 0)
        self._tokens_by_prefix[prefix_hash] = tokens
        if saved:
            self.hits += 1
            return saved
        self._record_event("stored", prefix_hash, tokens)
        if len(self._tokens_by_prefix) > self._max_entries:
            evicted, evicted_tokens = self._tokens_by_prefix.popitem(
                last=False
            )
            self._record_event("removed", evicted, evicted_tokens)
        return 0

    def _record_event(self, kind, prefix_hash, tokens):
        self.events.append(
            {"kind": kind, "prefix_hash": prefix_hash, "tokens": tokens}
        )

    def drain_events(self):
        """Remove and return the pending events.

        Returns the sequence number of the first event, and the events.
        """
        events, self.events = self.events, []
        first = self.sequence
        self.sequence += len(events)
        return first, events
