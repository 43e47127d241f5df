"""The command ``apricotctl``."""

import dataclasses
import json
import pathlib
import sys
import typing as ty
import urllib.parse

import anyio
import click

from apricotctl import bundlefiles
from apricotctl import client
from apricotctl import outcomes
from apricotctl import placements
from apricotctl import replaying
from apricotctl import traces
from apricotlanding import addresses
from apricotlanding import signatures
from apricotlanding import submissions

__all__ = ['main']

_FILE = click.Path(exists=True, dir_okay=False, path_type=pathlib.Path)


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """The daemon that commands are sent to."""

    address: str
    token: str

    def call(self, method: str, path: str, body: bytes = b'') -> ty.Any:
        """Return the daemon's response."""
        return client.call_daemon(self.address, self.token, method, path, body)


@click.group()
@click.option(
    '--daemon',
    envvar='APRICOT_DAEMON',
    default='127.0.0.1:7002',
    show_default=True,
    help='Operator address of any daemon, IP:PORT.',
)
@click.option(
    '--token',
    envvar='APRICOT_OPERATOR_TOKEN',
    default='',
    help='Operator token; better given in APRICOT_OPERATOR_TOKEN.',
)
@click.pass_context
def main(context: click.Context, daemon: str, token: str) -> None:
    """Operate apricotlanding: bundles, status, drains, requests."""
    context.obj = Target(daemon, token)


@main.command()
@click.argument('path', type=click.Path(path_type=pathlib.Path))
def keygen(path: pathlib.Path) -> None:
    """Create a signing key in PATH and print its public key."""
    if path.exists():
        raise click.ClickException(
            f'{path} already exists; choose another file'
        )
    pem = signatures.make_private_key()
    path.touch(mode=0o600)
    path.write_bytes(pem)
    click.echo(signatures.format_public_key(pem))


@main.group()
def bundle() -> None:
    """Check, sign, submit and compare configuration bundles."""


@bundle.command()
@click.argument('path', type=_FILE)
def check(path: pathlib.Path) -> None:
    """List all errors in PATH, with line and remedy."""
    found = bundlefiles.check_file(path)
    click.echo(f'{path}: good, version {found.version}')


@bundle.command()
@click.argument('path', type=_FILE)
@click.option('--author', required=True, help='Who wrote the change.')
@click.option('--approver', required=True, help='Who approves it.')
@click.option(
    '--as',
    'role',
    required=True,
    type=click.Choice(['author', 'approver']),
    help='Whose signature this is.',
)
@click.option('--key', required=True, type=_FILE, help='Private key.')
def sign(
    path: pathlib.Path,
    author: str,
    approver: str,
    role: str,
    key: pathlib.Path,
) -> None:
    """Add your signature to PATH.signed."""
    signed = bundlefiles.sign_file(
        path, author, approver, role == 'author', key.read_bytes()
    )
    click.echo(f'{signed}: signed as {role}')


@bundle.command()
@click.argument('path', type=_FILE)
@click.pass_obj
def submit(target: Target, path: pathlib.Path) -> None:
    """Submit PATH (a .signed file) and print the result."""
    record = bundlefiles.read_signed(path)
    reply = target.call(
        'POST', '/v1/bundle', submissions.encode_submission(record)
    )
    state = 'in force' if reply['in_force'] else 'accepted and replaced since'
    click.echo(f'version {reply["version"]}: {state}')


@bundle.command(name='status')
@click.pass_obj
def show_bundle(target: Target) -> None:
    """Show the version in force, its author and its approver."""
    reply = target.call('GET', '/v1/bundle')
    click.echo(
        f'version {reply["version"]} on base {reply["base"]},'
        f' by {reply["author"]}, approved by {reply["approver"]}'
    )


@bundle.command()
@click.argument('path', type=_FILE)
@click.pass_obj
def diff(target: Target, path: pathlib.Path) -> None:
    """Compare PATH with the bundle in force."""
    reply = target.call('GET', '/v1/bundle')
    for line in bundlefiles.compare_texts(reply['text'], path.read_text()):
        click.echo(line)


@main.command()
@click.option('--json', 'is_json', is_flag=True, help='For machines.')
@click.pass_obj
def status(target: Target, is_json: bool) -> None:
    """Show shard owners, queues by tier, and runners."""
    reply = target.call('GET', '/v1/status')
    if is_json:
        click.echo(json.dumps(reply, indent=1))
        return
    click.echo(
        f'{reply["host"]}: bundle {reply["bundle"]},'
        f' {reply["open_requests"]} open requests,'
        f' {reply["claims"]} claims,'
        f' peers {", ".join(reply["peers"]) or "none"}'
        f'{", draining" if reply["draining"] else ""}'
    )
    for name, shard in reply['shards'].items():
        state = 'serving' if shard['serving'] else 'taking over'
        if not shard['reachable']:
            state += ', out of reach'
        click.echo(
            f'  {name:24} epoch {shard["epoch"]:<4} {shard["owner"]}'
            f' ({state}, then {shard["successor"] or "nobody"})'
        )
    for name, pool in reply['pools'].items():
        click.echo(f'  pool {name}: waiting by tier {pool["waiting"]}')
        for runner, state in pool['runners'].items():
            usable = 'usable' if state['usable'] else 'not usable'
            click.echo(
                f'    {runner:12} {state["running"]} running,'
                f' {state["tokens"]} tokens, {usable}'
            )


@main.command()
@click.argument('host')
@click.pass_obj
def drain(target: Target, host: str) -> None:
    """Stop the daemon of HOST gracefully."""
    query = urllib.parse.urlencode({'host': host})
    target.call('POST', f'/v1/drain?{query}')
    click.echo(f'{host}: draining')


@main.command()
@click.argument('organisation')
@click.argument('key')
@click.pass_obj
def explain(target: Target, organisation: str, key: str) -> None:
    """Show the state of the request with this Idempotency-Key."""
    query = urllib.parse.urlencode({'organisation': organisation, 'key': key})
    reply = target.call('GET', f'/v1/explain?{query}')
    click.echo(
        f'{reply["state"]} (shard {reply["shard"]}, epoch {reply["epoch"]},'
        f' holder {reply["holder"] or "none"})'
    )


@main.command(name='explain-placement')
@click.argument('path')
@click.option('--hostname', required=True, help='Host name of the route.')
@click.option('--organisation', help='Its name; none for a public route.')
@click.option('--prompt-tokens', type=int, help='Tokens of the prompt.')
@click.option('--output-tokens', type=int, help='Limit of output tokens.')
@click.option('--expected-tokens', type=int, help='Expected output tokens.')
@click.option(
    '--prompt-part',
    'prompt_parts',
    multiple=True,
    help="Digest of a part of the prompt, as in the caller's header;"
    ' in order, any number.',
)
@click.option('--deadline-ms', type=int, help='Time that the caller waits.')
@click.option('--priority', type=int, help='Tier; else as configured.')
@click.option('--attempt', help='Attempt, by which a service is chosen.')
@click.option('--json', 'is_json', is_flag=True, help='For machines.')
@click.pass_obj
def explain_placement(
    target: Target, /, is_json: bool, **fields: ty.Any
) -> None:
    """Show where a request for PATH would go now, and why.

    Nothing is sent to a runner, and nothing is counted. --daemon is the
    address for metrics of a gateway.
    """
    question = placements.write_question(**fields)
    reply = target.call('POST', '/v1/explain-placement', question)
    if is_json:
        click.echo(json.dumps(reply, indent=1))
        return
    for line in placements.format_placement(reply):
        click.echo(line)


@main.command()
@click.argument('deployment', type=click.Choice(sorted(traces.DEPLOYMENTS)))
@click.option('--seed', default=1, show_default=True, help='Draws.')
@click.option('--seconds', default=30.0, show_default=True, help='Length.')
@click.option(
    '--load', default=1.0, show_default=True, help='1.0 fills the engines.'
)
def trace(deployment: str, seed: int, seconds: float, load: float) -> None:
    """Generate a trace of one of the users' deployments, as JSON lines."""
    plan = traces.DEPLOYMENTS[deployment]
    for line in traces.make_trace(plan, seed, seconds, load):
        click.echo(line.model_dump_json(exclude_none=True))


@main.command()
@click.argument('path', type=_FILE)
@click.option(
    '--callers',
    required=True,
    multiple=True,
    help="Callers' address of a daemon, IP:PORT; any number.",
)
@click.option(
    '--tokens',
    'token_path',
    required=True,
    type=_FILE,
    help='JSON object: token by organisation.',
)
@click.option('--outcomes', 'outcome_path', type=_FILE, help='To be met.')
@click.option('--storm', is_flag=True, help='Refused callers ask at once.')
@click.option('--json', 'is_json', is_flag=True, help='For machines.')
def replay(
    path: pathlib.Path,
    callers: tuple[str, ...],
    token_path: pathlib.Path,
    outcome_path: pathlib.Path | None,
    storm: bool,
    is_json: bool,
) -> None:
    """Replay the trace PATH and print the measurements.

    Exits with status 1 if an expected outcome was not met.
    """
    lines = traces.read_trace(path)
    daemons = [addresses.parse_address(text) for text in callers]
    tokens = json.loads(token_path.read_text())
    expected = None
    if outcome_path is not None:
        expected = outcomes.load_outcomes(outcome_path)
    running = replaying.Replay(lines, daemons, tokens, storm)
    measured = anyio.run(_run_with_bar, running, len(lines), is_json)
    if is_json:
        click.echo(json.dumps(measured))
    else:
        for name, value in measured.items():
            click.echo(f'{name:18} {value}')
    failures = (
        [] if expected is None else outcomes.check_outcomes(expected, measured)
    )
    if failures:
        raise click.ClickException('not met: ' + '; '.join(failures))


async def _run_with_bar(
    running: replaying.Replay, count: int, is_quiet: bool
) -> dict[str, ty.Any]:
    with click.progressbar(
        length=count, label='requests ended', file=sys.stderr, hidden=is_quiet
    ) as bar:
        async with anyio.create_task_group() as group:
            group.start_soon(_update_bar, running, bar)
            results = await running.run()
            group.cancel_scope.cancel()
        bar.update(count)
    return results.describe()


async def _update_bar(running: replaying.Replay, bar: ty.Any) -> None:
    shown = 0
    while True:
        await anyio.sleep(0.2)
        bar.update(running.done - shown)
        shown = running.done


if __name__ == '__main__':
    main()
