"""The part of the fault matrix that every build runs; see ``faultmatrix``.

``make matrix`` runs all of it.
"""

import pathlib
import tempfile

import testtools

from apricotstandins import deployment
import faultmatrix

SEED = 1
# Rows that between them kill, freeze and cut each role and stop the log.
ROWS = (
    'kill-entry',
    'kill-owner',
    'kill-entry-and-owner',
    'freeze-owner',
    'cut-entry',
    'cut-owner',
    'log-out',
    'log-replies-lost',
)


def run_row(
    name: str, seed: int, work: faultmatrix.Work = faultmatrix.MODEL_WORK
) -> dict[str, list[str]]:
    """Run a whole row on a system of its own."""
    with tempfile.TemporaryDirectory() as directory:
        system = deployment.Deployment(pathlib.Path(directory))
        system.has_relays = True
        # Short, for cells in which owner and successor die together.
        system.ownership['outage_limit_s'] = 8.0
        try:
            system.start_all()
            return faultmatrix.run_row(
                system, work, name, faultmatrix.steps, seed
            )
        finally:
            system.stop()


class TestFaultMatrix(testtools.TestCase):
    """Each row passes all of its cells."""

    def check_row(self, name: str) -> None:
        results = run_row(name, SEED)
        self.assertEqual({}, {k: v for k, v in results.items() if v})


def _add_row(name: str) -> None:
    def test(self: TestFaultMatrix) -> None:
        self.check_row(name)

    setattr(TestFaultMatrix, f'test_{name.replace("-", "_")}', test)


for _name in ROWS:
    _add_row(_name)
