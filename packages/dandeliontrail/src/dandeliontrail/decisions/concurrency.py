"""Learns how many requests an engine may run at once.

The configured slots are what an engine accepts, not the batch size at which
it still meets the latency targets.  The limit is multiplied by a factor below
1 when the gaps between tokens exceed the target of the class, and grows by a
constant when they do not (additive increase, multiplicative decrease: Chiu
and Jain, 1989).
"""

# A lower limit would leave an engine all but idle after one bad sample.
MIN_LIMIT = 2.0
DECREASE_FACTOR = 0.93
INCREASE_STEP = 0.05


def adjust_limit(engine, work, gap_ms, slots):
    """Adjust the limit of an engine by the mean gap of one answer, in ms."""
    target = work.between_tokens_ms
    if target is None:
        return
    if gap_ms > target:
        # Only a batch near the limit is evidence about the limit.
        if engine.total() >= engine.limit * 0.7:
            engine.limit = max(MIN_LIMIT, engine.limit * DECREASE_FACTOR)
    else:
        engine.limit = min(float(slots), engine.limit + INCREASE_STEP)
