"""Draws the results of the bench: attainment of the top tier and goodput by scenario and policy."""

import json
from pathlib import Path

import matplotlib

matplotlib.use("svg")
from matplotlib import pyplot as plt  # noqa: E402 - the backend has to be set first

WIDTH = 0.25


def draw(results: Path, picture: Path) -> None:
    """Draw the picture of a results file."""
    rows = json.loads(results.read_text())
    scenarios = list(dict.fromkeys(row["scenario"] for row in rows))
    policies = list(dict.fromkeys(row["policy"] for row in rows))
    figure, axes = plt.subplots(1, 2, figsize=(12, 4))
    for number, policy in enumerate(policies):
        places = [index + (number - 1) * WIDTH for index in range(len(scenarios))]
        attained = [_attainment(rows, scenario, policy) for scenario in scenarios]
        goodput = [_goodput(rows, scenario, policy) for scenario in scenarios]
        axes[0].bar(places, attained, WIDTH, label=policy)
        axes[1].bar(places, goodput, WIDTH, label=policy)
    axes[0].set_title("Attainment of the urgent tier, lowest class of both fleets")
    axes[1].set_title("Goodput of both fleets, tokens/s")
    for axis in axes:
        axis.set_xticks(range(len(scenarios)), scenarios, rotation=15)
        axis.legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(picture, metadata={"Date": None})


def _attainment(rows: list[dict], scenario: str, policy: str) -> float:
    found = [row for row in _of(rows, scenario, policy) if row["tier"] == "urgent"]
    return min(row["attainment"] for row in found)


def _goodput(rows: list[dict], scenario: str, policy: str) -> float:
    return sum(row["goodput_tokens_per_s"] for row in _of(rows, scenario, policy))


def _of(rows: list[dict], scenario: str, policy: str) -> list[dict]:
    return [row for row in rows if (row["scenario"], row["policy"]) == (scenario, policy)]
