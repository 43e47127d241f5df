"""The daemon's settings: a YAML file that is checked at start.

Settings hold what is specific to this host: its name, failure domain,
addresses and keys. Routes, organisations and pools are in the bundle.
"""

import pathlib
import typing as ty

from cryptography.hazmat.primitives.asymmetric import ed25519
import expression
import pydantic

from apricotlanding import addresses
from apricotlanding import signatures
from apricotlanding import yamlfiles

__all__ = ['Settings', 'load_settings']

_PEER_KEY_LENGTH = 32


@ty.final
class Operator(pydantic.BaseModel):
    """A person who may sign bundles."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)

    name: str
    # Ed25519, 64 hex digits; ``apricotctl keygen`` prints it.
    public_key: str

    @pydantic.field_validator('public_key')
    @classmethod
    def _check_key(cls, value: str) -> str:
        try:
            signatures.parse_public_key(value)
        except ValueError:
            raise ValueError(
                'write the 64 hex digits that "apricotctl keygen" printed'
            ) from None
        return value


@ty.final
class Settings(pydantic.BaseModel):
    """The checked settings."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)

    host: ty.Annotated[
        str, pydantic.Field(pattern=r'^[a-z0-9][a-z0-9.-]{0,62}$')
    ]
    # Failure domain.
    domain: ty.Annotated[str, pydantic.Field(min_length=1)]
    # Listener for callers, to which the load balancer connects.
    callers: addresses.AddressField
    # Listener for other daemons.
    peers: addresses.AddressField
    # Listener for apricotctl.
    operators_listen: addresses.AddressField
    # Services of the platform.
    log: addresses.AddressField
    host_list: addresses.AddressField
    # Retention period of the log.
    log_retention_s: ty.Annotated[float, pydantic.Field(gt=0)] = 86_400.0
    # Shared by all daemons of one system.
    peer_key: ty.Annotated[str, pydantic.Field(min_length=_PEER_KEY_LENGTH)]
    # SHA-256 of each token that apricotctl may use.
    operator_token_sha256: ty.Annotated[
        list[str], pydantic.Field(min_length=1)
    ]
    operators: ty.Annotated[list[Operator], pydantic.Field(min_length=2)]
    statsd: addresses.AddressField | None = None
    # File for spans, one JSON line each; tracing is off if it is not set.
    trace_file: pathlib.Path | None = None
    # How long new requests are still accepted after a stop signal, until the
    # load balancer has polled /readyz.
    drain_grace_s: ty.Annotated[float, pydantic.Field(ge=0)] = 2.0
    # Timeout of a graceful stop; the remaining requests are cancelled.
    stop_limit_s: ty.Annotated[float, pydantic.Field(gt=0)] = 600.0
    # Limit of finished answers that are kept for retries.
    kept_answer_bytes: ty.Annotated[int, pydantic.Field(ge=0)] = 33_554_432
    # Limit of concurrently open requests, and of their bodies.
    open_requests: ty.Annotated[int, pydantic.Field(gt=0)] = 5000
    open_body_bytes: ty.Annotated[int, pydantic.Field(gt=0)] = 268_435_456

    def read_operator_keys(self) -> dict[str, ed25519.Ed25519PublicKey]:
        """Return the operators' public keys by name."""
        return {
            item.name: signatures.parse_public_key(item.public_key)
            for item in self.operators
        }


def load_settings(
    path: pathlib.Path,
) -> expression.Result[Settings, list[yamlfiles.Finding]]:
    """Read a settings file and return the settings or all their errors."""
    try:
        text = path.read_bytes()
    except OSError as error:
        finding = yamlfiles.Finding(
            1, 'file', str(error), 'name a file that can be read'
        )
        return expression.Error([finding])
    return yamlfiles.load_model(text, Settings).map(lambda found: found[0])
