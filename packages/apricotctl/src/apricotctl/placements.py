"""Questions where a request would go, and the text of the answers."""

import collections.abc
import json
import typing as ty

__all__ = ['format_placement', 'write_question']

Answer = dict[str, ty.Any]

# Columns of the table of runners: title, field and width.
_COLUMNS: ty.Final = (
    ('runner', 'runner', 20),
    ('compared s', 'compared_s', 11),
    ('first s', 'first_s', 9),
    ('answer s', 'answer_s', 9),
    ('used', 'used', 5),
    ('limit', 'limit', 6),
    ('slots', 'slots', 6),
    ('late', 'late', 5),
    ('backlog s', 'backlog_s', 10),
    ('memory', 'memory_tokens', 9),
)


def write_question(**fields: object) -> bytes:
    """Return a question; fields that are None are left out."""
    return json.dumps(
        {name: value for name, value in fields.items() if value is not None}
    ).encode()


def format_placement(
    answer: Answer,
) -> collections.abc.Iterator[str]:
    """Yield the lines that show an answer."""
    yield (
        f'{answer["verdict"]} (asked {answer["host"]}, configuration'
        f' {answer["version"]})'
    )
    refusal = answer.get('refusal')
    if refusal is not None:
        yield (
            f'  {refusal["status"]} {refusal["code"]}: {refusal["error"]};'
            f' {refusal["remedy"]}'
        )
        if refusal['retry_after_s'] is not None:
            yield f'  Retry-After: {refusal["retry_after_s"]} s'
    if 'runner' in answer:
        predicted_s = answer.get('predicted_s')
        expected = '' if predicted_s is None else f', event in {predicted_s} s'
        yield f'  runner: {answer["runner"]}{expected}'
    for host in answer.get('asked', []):
        yield (
            f'  decided by {host["host"]}: ask it with --daemon'
            f' {host["address"]}'
        )
    if 'route' in answer:
        yield (
            f'  route {answer["route"]}, service {answer["service"]}, tier'
            f' {answer.get("tier", "-")}, organisation'
            f' {answer["organisation"] or "none"}'
        )
    yield from _format_allowance(answer.get('allowance'))
    for item in answer.get('coordinators', []):
        yield (
            f'  subset {item["subset"]} is coordinated by {item["host"]} at'
            f' {item["address"]}'
        )
    for decision in answer.get('decisions', []):
        yield from _format_decision(decision)
    for item in answer.get('closed', []):
        yield f'  {item["runner"]}: {item["excluded"]}'
    for line in answer.get('log', []):
        yield f'  would log: {json.dumps(line)}'


def _format_allowance(
    allowance: Answer | None,
) -> collections.abc.Iterator[str]:
    if allowance is None or not allowance['units_per_s']:
        return
    if allowance['is_granted'] is None:
        state = f'granted by {allowance["host"]} at {allowance["address"]}'
    elif allowance['is_granted']:
        state = 'enough is left'
    else:
        state = f'used up for {allowance["wait_s"]} s'
    yield (
        f'  allowance: {allowance["units_per_s"]} units a second, this'
        f' request costs {allowance["cost"]}; {state}'
    )


def _format_decision(
    decision: Answer,
) -> collections.abc.Iterator[str]:
    queue, share = decision['queue'], decision['share']
    if decision['subset'] is not None:
        yield f'  subset {decision["subset"]}:'
    yield (
        f'  queue: {queue["ahead"]} ahead of {queue["waiting"]} waiting,'
        f' {queue["free"]} slots free of {queue["places"]}, held for'
        f' {queue["hold_s"]} s; expected wait {queue["wait_s"]} s'
    )
    if share:
        yield (
            f'  share {share["share"]}, use {share["use"]}, of'
            f' {share["organisations"]} organisations; above their share:'
            f' {", ".join(share["above"]) or "none"}'
        )
    yield '  ' + ''.join(title.ljust(width) for title, _, width in _COLUMNS)
    for row in decision['runners']:
        cells = [_format_cell(row.get(name)) for _, name, _ in _COLUMNS]
        line = ''.join(
            cell.ljust(width)
            for cell, (_, _, width) in zip(cells, _COLUMNS, strict=True)
        )
        notes = ['chosen'] if row['is_chosen'] else []
        if row['excluded']:
            notes.append(row['excluded'])
        notes.extend(
            f'{name} {json.dumps(value)}'
            for name, value in row['signals'].items()
        )
        yield f'  {line}{"; ".join(notes)}'.rstrip()
    left_out = decision['runner_count'] - len(decision['runners'])
    if left_out > 0:
        yield f'  and {left_out} more runners'


def _format_cell(value: object) -> str:
    if value is None:
        return '- '
    if isinstance(value, float):
        return f'{value:.4f} '
    return f'{value} '
