"""Whether a new release answers worse than the old one.

Answers the load of a roll-out: a share of the requests goes to the new
release, and it may fail, or be slow, for a part of them, on one route, after
some time or under load. Old and new runners are compared on the same route
and over the same seconds, so what hits both alike blames neither. A runner
may itself be slow or failing, whatever its release, so the rest of the new
ones have to show it too when the worst one is left out.

Each comparison is a Bayes factor: how much better two separate rates explain
the answers than one common rate, with a uniform prior for each rate. It may
be read after every answer: if the rates are the same it ever exceeds a
threshold t with a probability of about 1/t.
"""

import collections.abc
import dataclasses
import math
import typing as ty

from apricotlandingd.gateway.decisions import evidence

__all__ = ['Finding', 'Judge', 'find_judge', 'list_judges']

# Factor from which the new release counts as bad, and from which it is
# doubted.
CONVICTING_FACTOR = 3000.0
DOUBTING_FACTOR = 20.0
# Factor that has to be left without the worst new runner.
CONFIRMING_FACTOR = 20.0
# Bins by which a slow answer exceeds the usual ones of its runner: 2.8 times.
SLOW_BINS = 6
# Quantile of a runner's times that is taken as its usual time.
USUAL_QUANTILE = 0.25
# Answers of a runner from which its usual time is known.
MIN_USUAL_ANSWERS = 4
# Bins by which the usual time of a slow runner exceeds the old runners'
# median: 1.7 times.
SLOW_RUNNER_BINS = 3
# Difference of two means from which the threshold judge convicts, and the
# answers that it waits for.
THRESHOLD_DIFFERENCE = 0.1
THRESHOLD_ANSWERS = 30
# Largest exponent whose power is finite.
MAX_EXPONENT = 700.0


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """The strongest sign against a new release."""

    factor: float
    # What it shows: 'failures', 'slow answers' or 'slow runners'.
    kind: str = ''
    # Digest of the route's name; None for all routes.
    route: int | None = None
    # Bad and all answers (or runners) of the new and of the old release.
    new_bad: int = 0
    new_total: int = 0
    old_bad: int = 0
    old_total: int = 0

    @property
    def is_bad(self) -> bool:
        """Tell whether the new release is bad."""
        return self.factor >= CONVICTING_FACTOR

    @property
    def is_doubtful(self) -> bool:
        """Tell whether the new release may well be bad."""
        return self.factor >= DOUBTING_FACTOR


class _Rate(ty.NamedTuple):
    # Bad answers (or runners) of all.
    bad: int
    total: int

    def __sub__(self, other: '_Rate') -> '_Rate':
        return _Rate(self.bad - other.bad, self.total - other.total)

    def find_excess(self) -> float:
        return self.bad / (self.total + 2)


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class _Comparison:
    """Bad answers of both releases."""

    route: int | None
    kind: str
    new: _Rate
    old: _Rate
    # That of the worst new runner, which is a part of ``new``; None where
    # runners are counted and not answers.
    worst: _Rate | None

    def make_finding(self, factor: float) -> Finding:
        return Finding(factor, self.kind, self.route, *self.new, *self.old)


Judge = collections.abc.Callable[[evidence.Counts], Finding]
_judges: dict[str, Judge] = {}


def find_judge(name: str) -> Judge:
    """Return a judge by its name."""
    return _judges[name]


def list_judges() -> list[str]:
    """Return the names of all judges."""
    return sorted(_judges)


def _register_judge(
    name: str,
) -> collections.abc.Callable[[Judge], Judge]:
    def add_judge(judge: Judge) -> Judge:
        _judges[name] = judge
        return judge

    return add_judge


@_register_judge('factor')
def judge_by_factor(counts: evidence.Counts) -> Finding:
    """Judge by Bayes factors, with and without the worst new runner."""
    strongest = Finding(0.0)
    for comparison in _list_comparisons(counts):
        finding = comparison.make_finding(_find_factor(comparison))
        if finding.factor > strongest.factor:
            strongest = finding
    return strongest


@_register_judge('threshold')
def judge_by_threshold(counts: evidence.Counts) -> Finding:
    """Judge by the difference of two means, once there are enough answers."""
    strongest = Finding(0.0)
    for comparison in _list_comparisons(counts):
        new, old = comparison.new, comparison.old
        if min(new.total, old.total) < THRESHOLD_ANSWERS:
            continue
        difference = new.bad / new.total - old.bad / old.total
        if difference > THRESHOLD_DIFFERENCE:
            strongest = comparison.make_finding(CONVICTING_FACTOR)
    return strongest


def _find_factor(comparison: _Comparison) -> float:
    factor = _compare(comparison.new, comparison.old)
    if comparison.worst is None:
        return factor
    rest = _compare(comparison.new - comparison.worst, comparison.old)
    return factor if rest >= CONFIRMING_FACTOR else min(factor, rest)


def _list_comparisons(
    counts: evidence.Counts,
) -> collections.abc.Iterator[_Comparison]:
    routes: list[int | None] = [None]
    routes.extend(sorted({cell.route for cell in counts}))
    for route in routes:
        new = evidence.make_tallies(counts, True, route)
        old = evidence.make_tallies(counts, False, route)
        if not new or not old:
            continue
        yield _compare_answers(route, 'failures', _rate_failures, new, old)
        yield _compare_answers(route, 'slow answers', _rate_slow, new, old)
        if route is None:
            yield _compare_runners(new, old)


def _compare_answers(
    route: int | None,
    kind: str,
    rate: collections.abc.Callable[[evidence.Tally], _Rate],
    new: dict[int, evidence.Tally],
    old: dict[int, evidence.Tally],
) -> _Comparison:
    rates = [rate(tally) for tally in new.values()]
    worst = max(rates, key=_Rate.find_excess) if len(rates) > 1 else None
    return _Comparison(
        route, kind, _add(rates), _add(map(rate, old.values())), worst
    )


def _rate_failures(tally: evidence.Tally) -> _Rate:
    return _Rate(tally.failures, tally.total)


def _rate_slow(tally: evidence.Tally) -> _Rate:
    # Against the runner's own usual time: machines differ in speed.
    usual = tally.find_quantile(USUAL_QUANTILE)
    return _Rate(
        tally.count_above(usual + SLOW_BINS - 1),
        tally.total - tally.failures,
    )


def _compare_runners(
    new: dict[int, evidence.Tally], old: dict[int, evidence.Tally]
) -> _Comparison:
    # A release that is slow for every answer shows on most of its runners,
    # and slow machines are as frequent among the old ones.
    old_usual = sorted(_list_usual(old))
    new_usual = _list_usual(new)
    kind = 'slow runners'
    if not old_usual or not new_usual:
        return _Comparison(None, kind, _Rate(0, 0), _Rate(0, 0), None)
    limit = old_usual[len(old_usual) // 2] + SLOW_RUNNER_BINS - 1
    return _Comparison(
        None,
        kind,
        _Rate(sum(usual > limit for usual in new_usual), len(new_usual)),
        _Rate(sum(usual > limit for usual in old_usual), len(old_usual)),
        None,
    )


def _list_usual(tallies: dict[int, evidence.Tally]) -> list[int]:
    return [
        tally.find_quantile(USUAL_QUANTILE)
        for tally in tallies.values()
        if tally.total - tally.failures >= MIN_USUAL_ANSWERS
    ]


def _add(rates: collections.abc.Iterable[_Rate]) -> _Rate:
    bad = total = 0
    for rate in rates:
        bad += rate.bad
        total += rate.total
    return _Rate(bad, total)


def _compare(new: _Rate, old: _Rate) -> float:
    if not new.total or not old.total:
        return 0.0
    if new.bad * old.total <= old.bad * new.total:
        return 0.0
    common = _Rate(new.bad + old.bad, new.total + old.total)
    exponent = _log_beta(new) + _log_beta(old) - _log_beta(common)
    return math.exp(min(exponent, MAX_EXPONENT))


def _log_beta(rate: _Rate) -> float:
    # Logarithm of the beta function of bad + 1 and good + 1.
    return (
        math.lgamma(rate.bad + 1)
        + math.lgamma(rate.total - rate.bad + 1)
        - math.lgamma(rate.total + 2)
    )
