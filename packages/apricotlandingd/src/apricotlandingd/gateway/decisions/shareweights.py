"""Weights of organisations by their allowances, and division by them."""

from apricotlanding import ids
from apricotlandingd.gateway import catalogue

__all__ = ['Weights', 'find_fair_rate', 'find_shares', 'find_weights']

# Least weight of an organisation. Sums of weights are exact to a much smaller
# one, so that the rest of a sum without the others is above zero.
MIN_WEIGHT = 1e-6

Weights = dict[ids.Organisation, float]


def find_weights(
    organisations: dict[ids.Organisation, catalogue.Organisation | None],
) -> Weights:
    """Return weights by the allowances, 1 on average.

    Allowances in tokens and in requests are not comparable, so each weight is
    relative to the mean of its unit; 1 if there is no allowance.
    """
    granted: dict[bool, list[float]] = {True: [], False: []}
    for known in organisations.values():
        if known is not None and known.units_per_s > 0:
            granted[known.counts_tokens].append(known.units_per_s)
    weights: Weights = {}
    for name, known in organisations.items():
        weights[name] = 1.0
        if known is not None and known.units_per_s > 0:
            alike = granted[known.counts_tokens]
            weight = known.units_per_s * len(alike) / sum(alike)
            weights[name] = max(MIN_WEIGHT, weight)
    return weights


def find_shares(
    weights: Weights,
) -> dict[ids.Organisation, float]:
    """Return the share of each organisation if all ask for more."""
    total = sum(weights.values())
    return {name: weight / total for name, weight in weights.items()}


def find_fair_rate(
    demands: dict[ids.Organisation, float], weights: Weights, total: float
) -> float:
    """Return the max-min fair rate for a weight of 1.

    Organisations that ask for less get all of it, and what they leave is
    divided among the others. Infinite if ``total`` is enough for all.
    """
    left = total
    weight_left = sum(weights[name] for name in demands)
    for name in sorted(
        demands, key=lambda name: demands[name] / weights[name]
    ):
        fair = max(0.0, left) / weight_left
        if demands[name] > fair * weights[name]:
            return fair
        left -= demands[name]
        weight_left -= weights[name]
    return float('inf')
