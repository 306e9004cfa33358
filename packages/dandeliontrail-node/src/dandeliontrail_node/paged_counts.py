"""A sparse HDR histogram that allocates only octaves with values.

A full ``HdrHistogram`` from 1 µs to 24 hours takes 33 KB regardless of its
content.  With four metrics for each of 1,600 organisations that would be
210 MB on every instance, three times the memory that an instance may use for
control.  The values of one organisation fall within a few octaves, so counts
are stored in pages of one octave each, with the same buckets as an HDR
histogram (Tene, "HdrHistogram", 2012), and are converted to a full histogram
only for sending.
"""

import array

MIN_VALUE = 1
MAX_VALUE = 24 * 3600 * 1_000_000
SIGNIFICANT_DIGITS = 2
# Two significant digits need 256 sub-buckets; from the second octave on only
# the upper half of them is used.
SUB_BUCKET_BITS = 8
SUB_BUCKETS = 1 << SUB_BUCKET_BITS
# Type codes of ``array``.  A page starts with one byte per counter, which is
# enough for most organisations, and is widened when a counter overflows.
INITIAL_TYPE_CODE = "B"
WIDER_TYPE_CODES = {"B": "H", "H": "Q"}


class PagedCounts:
    """A histogram of values from ``MIN_VALUE`` to ``MAX_VALUE``.

    >>> counts = PagedCounts()
    >>> for value in (1000, 2000, 3000):
    ...     counts.record(value)
    >>> counts.total
    3
    >>> counts.quantiles([50.0])
    [2007]
    """

    __slots__ = ("total", "_pages")

    def __init__(self):
        self.total = 0
        self._pages = {}

    def record(self, value):
        """Count one value, clamped to the range of the histogram."""
        value = min(max(value, MIN_VALUE), MAX_VALUE)
        octave = max(0, value.bit_length() - SUB_BUCKET_BITS)
        bucket = value >> octave
        page = self._pages.get(octave)
        if page is None:
            length = SUB_BUCKETS // 2 if octave else SUB_BUCKETS
            page = array.array(INITIAL_TYPE_CODE, bytes(length))
            self._pages[octave] = page
        if octave:
            bucket -= SUB_BUCKETS // 2
        try:
            page[bucket] += 1
        except OverflowError:
            page = array.array(WIDER_TYPE_CODES[page.typecode], page)
            page[bucket] += 1
            self._pages[octave] = page
        self.total += 1

    def buckets(self):
        """Yield (lowest value, highest value, count) in ascending order."""
        for octave in sorted(self._pages):
            first = SUB_BUCKETS // 2 if octave else 0
            for bucket, count in enumerate(self._pages[octave], first):
                if count:
                    low = bucket << octave
                    yield low, low + (1 << octave) - 1, count

    def quantiles(self, percentiles):
        """Return the value at each of the ascending ``percentiles``.

        As in HDR histograms, it is the highest value of the bucket.
        """
        target_counts = [
            max(1, int(share / 100.0 * self.total + 0.5))
            for share in percentiles
        ]
        values = []
        seen = 0
        for _, high, count in self.buckets():
            seen += count
            while (
                len(values) < len(target_counts)
                and seen >= target_counts[len(values)]
            ):
                values.append(high)
        return values

    def to_hdr_histogram(self):
        """Return an ``HdrHistogram`` with the same counts."""
        # Only operators ask for these; the library imports ``ctypes``.
        from hdrh import histogram

        full = histogram.HdrHistogram(MIN_VALUE, MAX_VALUE, SIGNIFICANT_DIGITS)
        for low, _, count in self.buckets():
            full.record_value(low, count)
        return full
