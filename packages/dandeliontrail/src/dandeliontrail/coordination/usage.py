"""What each organisation used, counted by this instance.

Totals only grow within an incarnation of an instance, which is what lets
them be merged in any order.
"""

import msgspec


class Totals(msgspec.Struct):
    """Counts for one organisation and class."""

    requests: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0
    wasted_tokens: int = 0


class UsageLedger:
    """Totals by organisation and class."""

    __slots__ = ("totals",)

    def __init__(self):
        self.totals = {}

    def count(self, organisation, class_name, counted):
        """Add ``counted`` to the totals of an organisation and class."""
        held = self.totals.setdefault((organisation, class_name), Totals())
        held.requests += counted.requests
        held.prompt_tokens += counted.prompt_tokens
        held.output_tokens += counted.output_tokens
        held.wasted_tokens += counted.wasted_tokens
