"""Timeouts after which a silent attempt is hedged at another server.

Some answers never come: a failure domain is partitioned off with streams
open, an engine runs a request and its answer is lost, a connection has gone
silent for good.  The caller would wait until its deadline, although another
server could answer, or continue the stream, before it.

Under load a first event takes long because engines are busy, and a hedge
would double the work.  So the timeout for the first event is well beyond its
latency target, and grows with the length of the prompt: what an engine has
prefilled of a long prompt is lost with the attempt.  The timeout between
events is the longest gap that the route allows, since an answer with a longer
gap misses its target in any case.  Hedges also count against the retry budget
(:mod:`.retry_budget`).

    >>> from dandeliontrail.decisions import work
    >>> chat = work.Work("r", "lab", "chat", "m", "s", 0, 0.0, 10.0)
    >>> chat.first_token_ms, chat.between_tokens_ms = 1200.0, 400.0
    >>> chat.streamed, chat.max_attempts = True, 2
    >>> of_attempt(chat, 0)
    SilenceTimeouts(first=2.4, between=0.5)
    >>> chat.prompt_tokens = 30_000
    >>> of_attempt(chat, 0)
    SilenceTimeouts(first=3.9, between=0.5)
    >>> of_attempt(chat, 1) is NO_SILENCE_TIMEOUTS
    True
"""

import msgspec

# The timeout for the first output, or for a whole answer that is not
# streamed, as a multiple of its latency target.
FIRST_OUTPUT_FACTOR = 2.0
# The lowest prefill rate of an engine beside its other work.
MIN_PREFILL_TOKENS_PER_SECOND = 20_000.0
# No timeout is shorter: a connection between failure domains that loses a
# packet is silent for some tenths of a second until the kernel retransmits.
MIN_TIMEOUT_SECONDS = 0.5


class SilenceTimeouts(msgspec.Struct, frozen=True):
    """Timeouts without a byte, in seconds; ``None`` is the deadline.

    ``first`` is the time until the first output, ``between`` the time from
    one output to the next.
    """

    first: float | None = None
    between: float | None = None


NO_SILENCE_TIMEOUTS = SilenceTimeouts()


def of_attempt(work, begun):
    """Return the :class:`SilenceTimeouts` for the next attempt of ``work``.

    ``begun`` attempts have been made before it.  Work that may run only once
    or has no attempt left has no timeout but its deadline.
    """
    if not work.repeatable or begun + 1 >= work.max_attempts:
        return NO_SILENCE_TIMEOUTS
    first = _timeout(work.first_token_ms, FIRST_OUTPUT_FACTOR)
    if first is not None:
        first += work.prompt_tokens / MIN_PREFILL_TOKENS_PER_SECOND
    return SilenceTimeouts(first, _timeout(work.between_tokens_ms, 1.0))


def _timeout(target_ms, factor):
    """Return a timeout in seconds, or ``None`` without a target."""
    if target_ms is None:
        return None
    return max(MIN_TIMEOUT_SECONDS, factor * target_ms / 1000.0)
