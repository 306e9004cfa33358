"""What organisations used, as numbers that merge and as they cross a wire.

Within one publisher, an incarnation of an instance, every count only grows.
So of two rows for the same key the greater counts are the later ones, and
rows can be merged in any order, late and repeatedly.
"""

import msgspec


class Totals(msgspec.Struct, array_like=True):
    """Counts of finished requests and their tokens."""

    requests: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0
    wasted_tokens: int = 0

    def add(self, other):
        """Add the counts of ``other``."""
        self.requests += other.requests
        self.prompt_tokens += other.prompt_tokens
        self.output_tokens += other.output_tokens
        self.wasted_tokens += other.wasted_tokens

    def less(self, other):
        """Return these counts without those of ``other``."""
        return Totals(
            self.requests - other.requests,
            self.prompt_tokens - other.prompt_tokens,
            self.output_tokens - other.output_tokens,
            self.wasted_tokens - other.wasted_tokens,
        )

    def copy(self):
        """Return the same counts as an object of their own."""
        return Totals(*self.counts())

    def counts(self):
        """Return the counts in the order of their fields."""
        return (
            self.requests,
            self.prompt_tokens,
            self.output_tokens,
            self.wasted_tokens,
        )

    def tokens(self):
        """Return the tokens that count towards an organisation's limits."""
        return self.prompt_tokens + self.output_tokens


def greater(one, other):
    """Return the greater of each count."""
    return Totals(
        max(one.requests, other.requests),
        max(one.prompt_tokens, other.prompt_tokens),
        max(one.output_tokens, other.output_tokens),
        max(one.wasted_tokens, other.wasted_tokens),
    )


class UsageKey(msgspec.Struct, array_like=True, frozen=True, order=True):
    """What a count is kept for; ``day`` is a UTC date, as 2026-03-14."""

    day: str
    organisation: str
    class_name: str


class UsageRow(msgspec.Struct, array_like=True):
    """One count of a publisher, last changed at its ``version``."""

    key: UsageKey
    version: int
    totals: Totals


class Publisher(msgspec.Struct, array_like=True, frozen=True, order=True):
    """Who counted: one incarnation of an instance."""

    instance: str
    incarnation: int


class UsageRows(msgspec.Struct, tag="usage_rows"):
    """All rows of a publisher that changed after version ``since``.

    Whoever holds the publisher up to ``since`` holds it up to ``through``
    once these are merged.
    """

    publisher: Publisher
    since: int
    through: int
    rows: list[UsageRow]


class PublisherVersion(msgspec.Struct, array_like=True):
    """Up to which version a publisher is held without gaps."""

    publisher: Publisher
    version: int


class UsageHave(msgspec.Struct, tag="usage_have"):
    """What the sender holds: publishers, and checkpoints by instance.

    ``ask`` tells that it would like to hear the same of the receiver,
    where that is behind; ``whole`` that it holds nothing else, so that what
    is not named is wanted from the first row.
    """

    versions: list[PublisherVersion]
    checkpoints: dict[str, int]
    ask: bool = True
    whole: bool = True


class UsageCheckpoint(msgspec.Struct, tag="usage_checkpoint"):
    """The sum of all publishers of an instance up to ``through``.

    ``root`` is the exclusive or of the hashes of what was folded, and
    ``versions`` the sum of their versions.
    """

    instance: str
    through: int
    root: int
    versions: int
    rows: list[UsageRow]


class LedgerSnapshot(msgspec.Struct):
    """All that a ledger holds, for a disk."""

    publishers: list[UsageRows]
    checkpoints: list[UsageCheckpoint]
