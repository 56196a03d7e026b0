"""Plots offered and good requests of the swing scenario over time, by tier."""

from collections.abc import Mapping, Sequence
from pathlib import Path

import matplotlib as mpl

from bench_load import Answer

mpl.use("Agg")

from matplotlib import pyplot as plt


def plot_swing(
    deployment: str, swings: Mapping[str, Sequence[Answer]], path: Path
) -> None:
    """Plot offered and good requests by the second in which they were due.

    Parameters
    ----------
    deployment : str
        Name for the title.
    swings : mapping of str to sequence of Answer
        Answers by policy.
    path : Path
        PNG file to write.
    """
    tiers = sorted(
        {a.request.tier_in_pool for answers in swings.values() for a in answers}
    )
    figure, axes = plt.subplots(
        len(tiers), len(swings), sharex=True, sharey="row", squeeze=False
    )
    figure.set_size_inches(5 * len(swings), 2 * len(tiers))
    for column, (policy, answers) in enumerate(swings.items()):
        for row, tier in enumerate(tiers):
            tier_answers = [a for a in answers if a.request.tier_in_pool == tier]
            seconds = range(int(max(a.request.at_s for a in answers)) + 1)
            offered = [
                sum(int(a.request.at_s) == s for a in tier_answers) for s in seconds
            ]
            good = [
                sum(int(a.request.at_s) == s and a.is_good for a in tier_answers)
                for s in seconds
            ]
            plot = axes[row][column]
            plot.step(seconds, offered, where="post", label="offered")
            plot.fill_between(seconds, good, step="post", alpha=0.4, label="in time")
            plot.set_title(f"{policy}: {tier}")
            plot.set_ylabel("requests / s")
    axes[0][0].legend()
    for plot in axes[-1]:
        plot.set_xlabel("due, seconds from the start")
    figure.suptitle(f"{deployment}: swing to three times the capacity")
    figure.tight_layout()
    figure.savefig(path)
    plt.close(figure)
