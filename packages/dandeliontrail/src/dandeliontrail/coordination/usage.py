"""Usage counts of organisations, and the messages that replicate them.

Counts of one publisher (an incarnation of an instance) never decrease.  So
of two rows with the same key the greater counts are the later ones, and rows
can be merged in any order, late and repeatedly.
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

    def plus(self, other):
        """Return these counts plus those of ``other``."""
        return Totals(
            self.requests + other.requests,
            self.prompt_tokens + other.prompt_tokens,
            self.output_tokens + other.output_tokens,
            self.wasted_tokens + other.wasted_tokens,
        )

    def minus(self, other):
        """Return these counts minus those of ``other``."""
        return Totals(
            self.requests - other.requests,
            self.prompt_tokens - other.prompt_tokens,
            self.output_tokens - other.output_tokens,
            self.wasted_tokens - other.wasted_tokens,
        )

    def copy(self):
        """Return a copy of the counts."""
        return Totals(*self.counts())

    def counts(self):
        """Return the counts as a tuple, in field order."""
        return (
            self.requests,
            self.prompt_tokens,
            self.output_tokens,
            self.wasted_tokens,
        )

    def tokens(self):
        """Return the number of tokens charged to an organisation's limits."""
        return self.prompt_tokens + self.output_tokens


def maximum(one, other):
    """Return the maximum of each count."""
    return Totals(
        max(one.requests, other.requests),
        max(one.prompt_tokens, other.prompt_tokens),
        max(one.output_tokens, other.output_tokens),
        max(one.wasted_tokens, other.wasted_tokens),
    )


class UsageKey(msgspec.Struct, array_like=True, frozen=True, order=True):
    """The key of a row; ``day`` is a UTC date such as 2026-03-14."""

    day: str
    organisation: str
    class_name: str


class UsageRow(msgspec.Struct, array_like=True):
    """A row of a publisher, last changed at the publisher's ``version``."""

    key: UsageKey
    version: int
    totals: Totals


class Publisher(msgspec.Struct, array_like=True, frozen=True, order=True):
    """The source of counts: one incarnation of an instance."""

    instance: str
    incarnation: int


class UsageRows(msgspec.Struct, tag="usage_rows"):
    """Message with the rows of a publisher changed after ``since``.

    A receiver that holds all versions up to ``since`` holds all up to
    ``through`` once it has merged the rows.
    """

    publisher: Publisher
    since: int
    through: int
    rows: list[UsageRow]


class PublisherVersion(msgspec.Struct, array_like=True):
    """The version up to which a publisher's rows are complete."""

    publisher: Publisher
    version: int


class UsageHave(msgspec.Struct, tag="usage_have"):
    """Message with the versions and checkpoints that the sender holds.

    ``checkpoints`` maps an instance to its highest folded incarnation.
    ``ask`` requests the same message from a receiver that is behind.
    ``whole`` means that the list is complete, so the receiver answers with
    all rows of the publishers that are not in it.
    """

    versions: list[PublisherVersion]
    checkpoints: dict[str, int]
    ask: bool = True
    whole: bool = True


class UsageCheckpoint(msgspec.Struct, tag="usage_checkpoint"):
    """The sum over all publishers of an instance up to ``through``.

    ``through`` is an incarnation, ``root`` the XOR of the hashes of the
    folded publishers and ``versions`` the sum of their versions.
    """

    instance: str
    through: int
    root: int
    versions: int
    rows: list[UsageRow]


class LedgerSnapshot(msgspec.Struct):
    """The complete contents of a ledger, as written to disk."""

    publishers: list[UsageRows]
    checkpoints: list[UsageCheckpoint]
