"""Events about usage that come from the node itself."""

import msgspec

from ..coordination import usage


class DayBegan(msgspec.Struct):
    """A UTC day, as 2026-03-14, began; sent first before any request."""

    day: str


class UsageLoaded(msgspec.Struct):
    """What the disk held at the start: a snapshot and the journal since."""

    snapshot: usage.LedgerSnapshot
    journal: list = msgspec.field(default_factory=list)
