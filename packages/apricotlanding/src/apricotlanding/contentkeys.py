"""Keys of what requests ask for.

Each attempt of a caller has an id of its own. The content key is the same for
all attempts that ask the same thing of the same server: it identifies a
request that is sent again.
"""

import hashlib

from apricotlanding import ids

__all__ = ['derive_key', 'derive_part_keys', 'format_key']

KEY_BYTES = 8
# Bytes that state the length of a part.
LENGTH_BYTES = 8
# Parts of one prompt that have keys; prompts have a few.
MAX_PARTS = 128


def derive_key(
    organisation: ids.Organisation | None, target: str, body: bytes
) -> ids.ContentKey:
    """Return the key of a request of an organisation.

    ``target`` names what the body is sent to: method, host name and path, or
    a route. A request without an organisation has the key of no organisation.
    """
    # Cryptographic, so that nobody can construct the key of another request.
    digest = hashlib.blake2b(digest_size=KEY_BYTES)
    owner = b'' if organisation is None else b'/' + organisation.encode()
    # Paths may contain bytes that are no UTF-8.
    for part in (owner, target.encode('utf-8', 'surrogateescape'), body):
        digest.update(len(part).to_bytes(LENGTH_BYTES))
        digest.update(part)
    return ids.ContentKey(int.from_bytes(digest.digest()))


def derive_part_keys(
    organisation: ids.Organisation | None, parts: list[str]
) -> frozenset[ids.ContentKey]:
    """Return the keys of the parts of a prompt that other prompts may have.

    The last part belongs to the request itself.
    """
    return frozenset(
        derive_key(organisation, 'part', part.encode('utf-8', 'replace'))
        for part in dict.fromkeys(parts[:-1][:MAX_PARTS])
    )


def format_key(key: ids.ContentKey) -> str:
    """Return the key as it stands in the log."""
    return f'{key:0{2 * KEY_BYTES}x}'
