"""Events about usage that come from the node itself."""

import dataclasses

from ..coordination import usage


@dataclasses.dataclass(slots=True)
class DayBegan:
    """A UTC day, as 2026-03-14, began; sent first before any request."""

    day: str


@dataclasses.dataclass(slots=True)
class UsageLoaded:
    """What the disk held at the start: a snapshot and the journal since."""

    snapshot: usage.LedgerSnapshot
    journal: list = dataclasses.field(default_factory=list)
