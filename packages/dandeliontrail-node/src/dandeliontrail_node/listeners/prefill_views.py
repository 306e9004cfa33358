"""Views of the prefill queues of engines, for operators."""


def gauges(state, now):
    """Return gauges and counters about prefill queues, by metric name.

    Empty until this instance has asked for a prompt or holds a queue.
    """
    asks = state.prefill
    queues = state.held_queues
    if not asks.asks_made and not queues.contents:
        return {}
    _, tokens, seconds = queues.longest(now)
    return {
        "prefill_asks_total": asks.asks_made,
        "prefill_grants_total": asks.grants_used,
        "prefill_answers_without_holder_total": asks.unheld,
        "prefill_without_holder_total": asks.placed_unheld,
        "prefill_queues_held": len(queues.contents),
        "prefill_queue_longest_tokens": tokens,
        "prefill_queue_longest_seconds": round(seconds, 3),
    }
