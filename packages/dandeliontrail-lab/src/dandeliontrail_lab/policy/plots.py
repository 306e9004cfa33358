"""Bar plots of the measures of many runs."""

import pathlib

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

FIGURES = {
    "protected": "attainment of the protected classes",
    "goodput": "goodput, share of the bound",
    "waste": "wasted share of all tokens",
}


def save(rows, folder):
    """Write one plot per measure to ``folder`` and return the paths."""
    scenarios = list(dict.fromkeys(row.scenario for row in rows))
    policies = list(dict.fromkeys(row.policy for row in rows))
    rows_by_key = {(row.scenario, row.policy): row for row in rows}
    paths = []
    for field, title in FIGURES.items():
        path = pathlib.Path(folder) / f"policy-{field}.png"
        _draw(rows_by_key, scenarios, policies, field, title, path)
        paths.append(path)
    return paths


def _draw(rows_by_key, scenarios, policies, field, title, path):
    figure, axes = pyplot.subplots(figsize=(11, 4))
    width = 0.8 / len(policies)
    for number, policy in enumerate(policies):
        values = [
            getattr(rows_by_key[(scenario, policy)], field)
            if (scenario, policy) in rows_by_key
            else 0.0
            for scenario in scenarios
        ]
        positions = [index + number * width for index in range(len(scenarios))]
        axes.bar(positions, values, width, label=policy)
    axes.set_xticks([index + 0.4 for index in range(len(scenarios))])
    axes.set_xticklabels(scenarios, rotation=30, ha="right", fontsize=8)
    axes.set_title(title)
    axes.legend(fontsize=8, loc="upper left", bbox_to_anchor=(1.0, 1.0))
    figure.tight_layout()
    figure.savefig(path, dpi=80)
    pyplot.close(figure)
