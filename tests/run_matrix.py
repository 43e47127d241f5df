"""Runs all rows of both fault matrices and writes a table of each.

python tests/run_matrix.py --seed 1 --side-by-side 5 --output DIRECTORY
"""

import collections.abc
import concurrent.futures
import functools
import pathlib
import sys

import click

import faultmatrix
import matrixrows
import test_fault_matrix
import test_tier_matrix
import tiermatrix

# Failures by fault and step.
Results = dict[str, matrixrows.Row]
# Returns the text of a cell that passed, by fault and step.
Describe = collections.abc.Callable[[str, str], str]


def format_table(
    results: Results,
    names: collections.abc.Collection[str],
    describe: Describe,
) -> str:
    """Return the results as a Markdown table, followed by the failures."""
    lines = [
        '| fault | ' + ' | '.join(names) + ' |',
        '| --- ' * (len(names) + 1) + '|',
    ]
    failed = 0
    details = []
    for fault, row in results.items():
        cells = []
        for name in names:
            failures = row.get(name, ['not run'])
            failed += bool(failures)
            cells.append('FAILED' if failures else describe(fault, name))
            details += [f'- {fault}, {name}: {text}' for text in failures]
        # Failures of the row as a whole.
        for name in row.keys() - set(names):
            details += [f'- {fault}, {name}: {text}' for text in row[name]]
        lines.append(f'| {fault} | ' + ' | '.join(cells) + ' |')
    count = len(names) * len(results)
    lines += ['', f'{count - failed} of {count} cells passed.', '', *details]
    return '\n'.join(lines) + '\n'


def run_rows(
    names: collections.abc.Iterable[str],
    run_row: matrixrows.RunRow,
    seed: int,
    side_by_side: int,
) -> Results:
    """Run rows, several in parallel."""
    with concurrent.futures.ThreadPoolExecutor(side_by_side) as pool:
        futures = {name: pool.submit(run_row, name, seed) for name in names}
        return {name: future.result() for name, future in futures.items()}


def describe_outcomes(workload: faultmatrix.Workload) -> Describe:
    """Return a function that lists the correct outcomes of a cell."""

    def describe(fault: str, name: str) -> str:
        return ' or '.join(
            sorted(faultmatrix.find_expected_outcomes(fault, name, workload))
        )

    return describe


def has_failed(results: Results) -> bool:
    """Tell whether there was any failure."""
    return any(
        failures for row in results.values() for failures in row.values()
    )


@click.command()
@click.option('--seed', default=1, help='Reproduces a run.')
@click.option('--side-by-side', default=5, help='Rows at a time.')
@click.option(
    '--output',
    default='matrix-output',
    type=click.Path(path_type=pathlib.Path),
    help='Directory for MATRIX.md.',
)
def main(seed: int, side_by_side: int, output: pathlib.Path) -> None:
    """Run every fault at every step."""
    model_results = run_rows(
        faultmatrix.faults, test_fault_matrix.run_row, seed, side_by_side
    )
    service_results = run_rows(
        faultmatrix.faults,
        functools.partial(
            test_fault_matrix.run_row, workload=faultmatrix.SERVICE_WORKLOAD
        ),
        seed,
        side_by_side,
    )
    # A burst loads the machine more than a single request.
    tier_results = run_rows(
        tiermatrix.faults,
        test_tier_matrix.run_row,
        seed,
        max(side_by_side // 2, 1),
    )
    text = '\n'.join(
        [
            'A cell shows what its last word may be, or FAILED.',
            '',
            f'## One request to a model (seed {seed})',
            '',
            format_table(
                model_results,
                faultmatrix.steps,
                describe_outcomes(faultmatrix.MODEL_WORKLOAD),
            ),
            f'## One request to a service (seed {seed})',
            '',
            format_table(
                service_results,
                faultmatrix.steps,
                describe_outcomes(faultmatrix.SERVICE_WORKLOAD),
            ),
            f'## An overload (seed {seed})',
            '',
            format_table(
                tier_results, tiermatrix.steps, lambda fault, name: 'held'
            ),
        ]
    )
    output.mkdir(exist_ok=True)
    (output / 'MATRIX.md').write_text(text)
    click.echo(text)
    sys.exit(
        1
        if any(map(has_failed, (model_results, service_results, tier_results)))
        else 0
    )


if __name__ == '__main__':
    main()
