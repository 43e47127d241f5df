"""Checks, signs and compares bundles on disk.

The signatures of a bundle ``FILE`` are stored in ``FILE.signed``, a JSON file
with the text and the signatures added so far. It can be submitted by anybody
once both author and approver have signed.
"""

import base64
import difflib
import json
import pathlib
import typing as ty

import click

from apricotlanding import bundle
from apricotlanding import errors
from apricotlanding import records
from apricotlanding import signatures
from apricotlanding import submissions
from apricotlandingd.pools import policies

__all__ = [
    'check_file',
    'compare_texts',
    'read_signed',
    'sign_file',
]


def check_file(path: pathlib.Path) -> bundle.Bundle:
    """Return the bundle in a file; print all errors and exit if invalid."""
    checked = bundle.check_bundle(path.read_bytes(), policies.list_names())
    if checked.is_ok():
        return checked.ok
    for finding in checked.error:
        click.echo(f'{path}: {finding}', err=True)
    count = len(checked.error)
    raise click.ClickException(f'{count} errors; nothing was changed')


def sign_file(
    path: pathlib.Path,
    author: str,
    approver: str,
    is_author: bool,
    private_pem: bytes,
) -> pathlib.Path:
    """Add a signature to ``FILE.signed``; return its path."""
    checked_bundle = check_file(path)
    text = path.read_bytes()
    signed_path = path.with_name(path.name + '.signed')
    value: dict[str, ty.Any] = {
        'version': checked_bundle.model.version,
        'base': checked_bundle.model.base,
        'author': author,
        'approver': approver,
        'text': base64.b64encode(text).decode(),
    }
    if signed_path.exists():
        before = json.loads(signed_path.read_text())
        if {name: before.get(name) for name in value} == value:
            # Same text, author and approver: keep the other signature.
            value = before
    signature = signatures.sign_bundle(
        private_pem, is_author, author, approver, text
    )
    name = 'author_signature' if is_author else 'approver_signature'
    value[name] = signature.hex()
    signed_path.write_text(json.dumps(value, indent=1) + '\n')
    return signed_path


def read_signed(path: pathlib.Path) -> records.BundleRecord:
    """Return a bundle that author and approver have signed."""
    try:
        return submissions.decode_submission(path.read_bytes())
    except errors.Refused as error:
        raise click.ClickException(
            f'{path}: {error}; both author and approver must run "apricotctl'
            ' bundle sign"'
        ) from error


def compare_texts(before: str, after: str) -> list[str]:
    """Return a unified diff."""
    return list(
        difflib.unified_diff(
            before.splitlines(),
            after.splitlines(),
            'in force',
            'file',
            lineterm='',
        )
    )
