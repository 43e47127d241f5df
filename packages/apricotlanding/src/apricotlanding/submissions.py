"""JSON encoding of signed bundles sent from ``apricotctl`` to a daemon."""

import base64
import json

from apricotlanding import errors
from apricotlanding import ids
from apricotlanding import plainjson
from apricotlanding import records

__all__ = ['decode_submission', 'encode_submission']


def encode_submission(record: records.BundleRecord) -> bytes:
    """Encode a signed bundle as JSON."""
    value = {
        'version': record.version,
        'base': record.base,
        'author': record.author,
        'approver': record.approver,
        'text': base64.b64encode(record.text).decode(),
        'author_signature': record.author_signature.hex(),
        'approver_signature': record.approver_signature.hex(),
    }
    return json.dumps(value).encode()


def decode_submission(body: bytes) -> records.BundleRecord:
    """Decode a signed bundle; raises Refused (BUNDLE_REFUSED)."""
    try:
        value = plainjson.parse(body)
        return records.BundleRecord(
            version=ids.Version(int(value['version'])),
            base=ids.Version(int(value['base'])),
            author=str(value['author']),
            approver=str(value['approver']),
            text=base64.b64decode(value['text'], validate=True),
            author_signature=bytes.fromhex(value['author_signature']),
            approver_signature=bytes.fromhex(value['approver_signature']),
        )
    except (KeyError, TypeError, ValueError, OverflowError) as error:
        raise errors.Refused(
            errors.make_problem(
                errors.Kind.BUNDLE_REFUSED,
                detail=f'bad submission: {error!r}',
            )
        ) from error
