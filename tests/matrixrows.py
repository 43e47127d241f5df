"""Creates one test for each row of both fault matrices."""

import collections.abc
import contextlib
import pathlib
import tempfile
import typing as ty

import testtools

from apricotstandins import deployment

SEED = 1
# Failures by step.
Row = dict[str, list[str]]
RunRow = collections.abc.Callable[[str, int], Row]


@contextlib.contextmanager
def start_system(
    runners: ty.Sequence[deployment.RunnerPlan] = deployment.DEFAULT_RUNNERS,
    **pool_settings: ty.Any,
) -> collections.abc.Iterator[deployment.Deployment]:
    """Run a system whose links can be cut; stop it on exit."""
    with tempfile.TemporaryDirectory() as directory:
        system = deployment.Deployment(pathlib.Path(directory), runners)
        system.has_relays = True
        system.pool_settings = pool_settings
        # Short, for cells in which owner and successor are both killed.
        system.ownership['outage_limit_s'] = 8.0
        try:
            system.start_all()
            yield system
        finally:
            system.stop()


def add_row(
    case: type[testtools.TestCase], name: str, run_row: RunRow
) -> None:
    """Add a test that fails unless all cells of a row pass."""

    def test(self: testtools.TestCase) -> None:
        results = run_row(name, SEED)
        self.assertEqual({}, {k: v for k, v in results.items() if v})

    setattr(case, f'test_{name.replace("-", "_")}', test)
