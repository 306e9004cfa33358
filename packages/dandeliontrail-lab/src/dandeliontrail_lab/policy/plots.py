"""The measures of many runs as plots."""

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
    """Write one plot for each measure; return the paths."""
    scenarios = list(dict.fromkeys(row.scenario for row in rows))
    policies = list(dict.fromkeys(row.policy for row in rows))
    held = {(row.scenario, row.policy): row for row in rows}
    paths = []
    for field, title in FIGURES.items():
        path = pathlib.Path(folder) / f"policy-{field}.png"
        _draw(held, scenarios, policies, field, title, path)
        paths.append(path)
    return paths


def _draw(held, scenarios, policies, field, title, path):
    figure, axes = pyplot.subplots(figsize=(11, 4))
    width = 0.8 / len(policies)
    for number, policy in enumerate(policies):
        values = [
            getattr(held[(scenario, policy)], field)
            if (scenario, policy) in held
            else 0.0
            for scenario in scenarios
        ]
        places = [at + number * width for at in range(len(scenarios))]
        axes.bar(places, values, width, label=policy)
    axes.set_xticks([at + 0.4 for at in range(len(scenarios))])
    axes.set_xticklabels(scenarios, rotation=30, ha="right", fontsize=8)
    axes.set_title(title)
    axes.legend(fontsize=8, loc="upper left", bbox_to_anchor=(1.0, 1.0))
    figure.tight_layout()
    figure.savefig(path, dpi=80)
    pyplot.close(figure)
