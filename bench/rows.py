"""Result rows of experiments."""

from typing import NamedTuple


class Row(NamedTuple):
    """One result of an experiment.

    :param experiment: name of the experiment.
    :param case: what was measured, such as ``kilimo 2x goodput``.
    :param seed: seed of the run.
    :param baseline: figure of the same run without overload control or a safeguard,
        or ``None``.
    :param figpick: measured figure.
    :param bound: target for the figure, or ``None``.
    :param unit: unit of the three figures.
    :param at_most: whether the bound is an upper limit; otherwise it is a lower
        limit.
    """

    experiment: str
    case: str
    seed: int
    baseline: float | None
    figpick: float
    bound: float | None
    unit: str
    at_most: bool = True

    @property
    def holds(self):
        """Whether the figure meets the bound; true if there is no bound."""
        if self.bound is None:
            return True
        if self.at_most:
            return self.figpick <= self.bound
        return self.figpick >= self.bound
