"""How much an engine may run at once, learned from its pace.

The configured slots say what an engine accepts, not at which batch it still
meets the targets.  The limit falls by a part when the gaps between tokens
exceed the target of the class and rises by a little when they do not
(additive increase, multiplicative decrease: Chiu and Jain, 1989).
"""

# A limit below this would leave an engine all but idle on one bad sample.
LEAST = 2.0
FALL = 0.93
RISE = 0.05


def learn(engine, work, gap_ms, slots):
    """Take in the mean gap of one answer."""
    target = work.between_tokens_ms
    if target is None:
        return
    if gap_ms > target:
        # Only a batch near the limit speaks about the limit.
        if engine.total() >= engine.limit * 0.7:
            engine.limit = max(LEAST, engine.limit * FALL)
    else:
        engine.limit = min(float(slots), engine.limit + RISE)
