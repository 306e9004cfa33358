"""Views of the retry budget, for operators."""


def gauges(budget, now):
    """Return gauges and counters by metric name.

    ``budget`` is the policy's :class:`RetryBudget`, or ``None``.
    """
    if budget is None:
        return {}
    found = {"retry_budget_share": budget.share}
    for service, counts in sorted(budget.counts().items()):
        label = f'{{service="{service}"}}'
        found.update(
            {
                f"retries_available{label}": budget.available(service, now),
                f"retries_unsettled{label}": budget.unsettled(service),
                f"retries_spent_total{label}": counts.spent,
                f"retries_refused_total{label}": counts.refused,
                f"retries_borrowed_total{label}": counts.borrowed,
                f"retries_lent_total{label}": counts.lent,
            }
        )
    return found
