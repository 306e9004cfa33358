"""What operators are told of a placement: ordered, awaited, and why not."""

from dandeliontrail.resources import specs

NO_WORD = "no instance has reported on it yet"


def conditions(state, resource):
    """Return the conditions of a placement, a line for each matter."""
    if resource.kind is not specs.Kind.MODEL_PLACEMENTS:
        return []
    lines = []
    for domain, report in sorted(state.orders.reports.items()):
        lines.extend(_of_domain(domain, report, resource.name))
    return lines or [NO_WORD]


def _of_domain(domain, report, name):
    by = f"(orders by {report.holder}, fencing {report.fencing})"
    for item in report.placements:
        if item.placement == name:
            yield f"{domain}: {item.condition} {by}"
    for item in report.orders:
        if item.placement == name:
            answered = "answered" if item.answered else "no answer yet"
            yield (
                f"{domain}: {item.order} given {item.given_ago:.0f} s before"
                f" the report, {answered}, {item.attempts} attempts"
            )
