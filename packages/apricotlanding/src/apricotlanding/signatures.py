"""Signatures of bundles by an author and an approver.

Both sign the role, the two names and the text with Ed25519. The role is
included so that an approval cannot be used as the author's signature. Daemons
take the operators' public keys from their settings, not from a bundle:
otherwise a bundle could authorise its own signers.
"""

import collections.abc

from cryptography import exceptions
from cryptography.hazmat.primitives.asymmetric import ed25519
from cryptography.hazmat.primitives import serialization

from apricotlanding import records

__all__ = [
    'describe_bad_signature',
    'make_private_key',
    'parse_public_key',
    'sign_bundle',
    'format_public_key',
]

_AUTHOR = b'author'
_APPROVER = b'approver'

PublicKeys = collections.abc.Mapping[str, ed25519.Ed25519PublicKey]


def make_private_key() -> bytes:
    """Return a new private key in PEM format."""
    return ed25519.Ed25519PrivateKey.generate().private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )


def format_public_key(private_pem: bytes) -> str:
    """Return the public key in hex, as used in settings."""
    public = _read_private_key(private_pem).public_key()
    return public.public_bytes_raw().hex()


def parse_public_key(text: str) -> ed25519.Ed25519PublicKey:
    """Parse a public key of 64 hex digits; raises ValueError."""
    return ed25519.Ed25519PublicKey.from_public_bytes(bytes.fromhex(text))


def sign_bundle(
    private_pem: bytes,
    is_author: bool,
    author: str,
    approver: str,
    text: bytes,
) -> bytes:
    """Return the author's or the approver's signature of a bundle."""
    role = _AUTHOR if is_author else _APPROVER
    payload = _make_payload(role, author, approver, text)
    return _read_private_key(private_pem).sign(payload)


def describe_bad_signature(
    record: records.BundleRecord, keys: PublicKeys
) -> str | None:
    """Return the error in a record's signatures; None if they are valid."""
    if record.author == record.approver:
        return 'author and approver are the same operator'
    for name, role, signature in (
        (record.author, _AUTHOR, record.author_signature),
        (record.approver, _APPROVER, record.approver_signature),
    ):
        key = keys.get(name)
        if key is None:
            return f'{name!r} is not among the operators of the settings'
        payload = _make_payload(
            role, record.author, record.approver, record.text
        )
        try:
            key.verify(signature, payload)
        except exceptions.InvalidSignature:
            return f'the signature of {name!r} does not match'
    return None


def _read_private_key(pem: bytes) -> ed25519.Ed25519PrivateKey:
    key = serialization.load_pem_private_key(pem, password=None)
    if not isinstance(key, ed25519.Ed25519PrivateKey):
        raise ValueError('not an Ed25519 key; make one with apricotctl keygen')
    return key


def _make_payload(
    role: bytes, author: str, approver: str, text: bytes
) -> bytes:
    return b'\0'.join([role, author.encode(), approver.encode(), text])
