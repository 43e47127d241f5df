"""Runs the whole fault matrix and writes a table of it.

python tests/run_matrix.py --seed 1 --side-by-side 5 --output DIRECTORY
"""

import concurrent.futures
import pathlib
import sys

import click

import faultmatrix
import test_fault_matrix


def write_table(results: dict[str, dict[str, list[str]]], seed: int) -> str:
    """Return the results as a Markdown table, with failures below."""
    names = list(faultmatrix.steps)
    lines = [
        f'Seed {seed}. A cell shows what its last word may be, or FAILED.',
        '',
        '| fault | ' + ' | '.join(names) + ' |',
        '| --- ' * (len(names) + 1) + '|',
    ]
    failures = []
    for fault, row in results.items():
        cells = []
        for name in names:
            wrong = row.get(name, ['not run'])
            expected = faultmatrix.find_expected(fault, name)
            words = ' or '.join(sorted(expected))
            cells.append('FAILED' if wrong else words)
            failures += [f'- {fault}, {name}: {text}' for text in wrong]
        failures += [f'- {fault}: {text}' for text in row.get('versions', [])]
        lines.append(f'| {fault} | ' + ' | '.join(cells) + ' |')
    count = len(names) * len(results)
    lines += ['', f'{count - len(failures)} of {count} cells passed.', '']
    return '\n'.join([*lines, *failures]) + '\n'


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
    with concurrent.futures.ThreadPoolExecutor(side_by_side) as pool:
        futures = {
            name: pool.submit(test_fault_matrix.run_row, name, seed)
            for name in faultmatrix.faults
        }
        results = {name: future.result() for name, future in futures.items()}
    output.mkdir(exist_ok=True)
    table = write_table(results, seed)
    (output / 'MATRIX.md').write_text(table)
    click.echo(table)
    is_good = not any(
        wrong for row in results.values() for wrong in row.values()
    )
    sys.exit(0 if is_good else 1)


if __name__ == '__main__':
    main()
