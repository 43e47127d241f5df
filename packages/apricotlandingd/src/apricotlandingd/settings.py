"""The daemon's settings: one YAML file, checked when it starts.

Settings say what belongs to this host: its name, failure domain, addresses
and keys. What belongs to the business stands in the bundle.
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
    """Somebody who may sign bundles."""

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
    """Checked settings."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)

    host: ty.Annotated[
        str, pydantic.Field(pattern=r'^[a-z0-9][a-z0-9.-]{0,62}$')
    ]
    # Failure domain.
    domain: ty.Annotated[str, pydantic.Field(min_length=1)]
    # Where the balancer sends callers.
    callers: addresses.AddressField
    # Where other daemons connect.
    peers: addresses.AddressField
    # Where apricotctl connects.
    operators_listen: addresses.AddressField
    # The platform's log and host list.
    log: addresses.AddressField
    host_list: addresses.AddressField
    # How long the log keeps records, in seconds.
    log_retention_s: ty.Annotated[float, pydantic.Field(gt=0)] = 86_400.0
    # Shared by all daemons of one system.
    peer_key: ty.Annotated[str, pydantic.Field(min_length=_PEER_KEY_LENGTH)]
    # SHA-256 of each token that apricotctl may show.
    operator_token_sha256: ty.Annotated[
        list[str], pydantic.Field(min_length=1)
    ]
    operators: ty.Annotated[list[Operator], pydantic.Field(min_length=2)]
    statsd: addresses.AddressField | None = None
    # File for spans, one JSON line each; no traces if not given.
    trace_file: pathlib.Path | None = None
    # Seconds after a stop signal in which new requests are still taken,
    # until the balancer has seen /readyz.
    drain_grace_s: ty.Annotated[float, pydantic.Field(ge=0)] = 2.0
    # Seconds that a graceful stop may take; work that is left is ended.
    stop_limit_s: ty.Annotated[float, pydantic.Field(gt=0)] = 600.0
    # Bytes of finished answers that are kept for retries.
    kept_answer_bytes: ty.Annotated[int, pydantic.Field(ge=0)] = 33_554_432
    # Most requests that are open at a time.
    open_requests: ty.Annotated[int, pydantic.Field(gt=0)] = 5000

    def read_operator_keys(self) -> dict[str, ed25519.Ed25519PublicKey]:
        """Return the operators' public keys by name."""
        return {
            item.name: signatures.parse_public_key(item.public_key)
            for item in self.operators
        }


def load_settings(
    path: pathlib.Path,
) -> expression.Result[Settings, list[yamlfiles.Finding]]:
    """Read a settings file, or return every mistake in it."""
    try:
        text = path.read_bytes()
    except OSError as error:
        finding = yamlfiles.Finding(
            1, 'file', str(error), 'name a file that can be read'
        )
        return expression.Error([finding])
    return yamlfiles.load_model(text, Settings).map(lambda found: found[0])
