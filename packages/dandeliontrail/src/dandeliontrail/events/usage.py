"""Events about usage accounting, sent by the process itself."""

import msgspec

from ..coordination import usage


class DayBegan(msgspec.Struct):
    """A UTC day such as 2026-03-14 began.

    The first one is sent before any request.
    """

    day: str


class UsageLoaded(msgspec.Struct):
    """The usage read from disk at the start.

    It consists of a snapshot and the journal written after it.
    """

    snapshot: usage.LedgerSnapshot
    journal: list = msgspec.field(default_factory=list)
