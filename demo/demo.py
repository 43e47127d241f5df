"""Demo of the complete system on loopback, as separate processes.

Starts a stand-in platform, two engines of different generations, one plain
service and three daemons, and submits a signed bundle with apricotctl. Posts
one request of each kind through different daemons and prints the answer, its
runner and the hops of its trace. Then stops all daemons gracefully. Exits
with 0 only if each answer was complete and belonged to its request.
"""

import dataclasses
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import typing as ty

import yaml

from apricotstandins import callers
from apricotstandins import deployment
from apricotstandins import processes


@dataclasses.dataclass(frozen=True, slots=True)
class DemoRequest:
    """A request that the demo posts."""

    title: str
    host: str
    route: str
    token: str
    body: dict[str, ty.Any]


DEMO_REQUESTS: ty.Final = [
    DemoRequest(
        'Festin: route rebuild',
        'entry-1',
        'rebuild',
        deployment.FESTIN_TOKEN,
        {'prompt': 'rebuild the day for van seven ' * 40, 'max_tokens': 24},
    ),
    DemoRequest(
        'Festin: stop note',
        'entry-2',
        'note',
        deployment.FESTIN_TOKEN,
        {'prompt': 'short note for the next stop', 'max_tokens': 6},
    ),
    DemoRequest(
        'Festin: manifest change',
        'entry-3',
        'manifest',
        deployment.FESTIN_TOKEN,
        {'van': 7, 'remove': 'two trays'},
    ),
    DemoRequest(
        'Ishami: field note',
        'entry-2',
        'report',
        deployment.ISHAMI_TOKEN,
        {'prompt': 'crack in the north wall ' * 60, 'max_tokens': 16},
    ),
]


def run_ctl(system: deployment.Deployment, *arguments: str) -> None:
    """Run apricotctl with an operator token; print command and output."""
    environment = os.environ | {
        'APRICOT_DAEMON': system.daemons['entry-1'].operators,
        'APRICOT_OPERATOR_TOKEN': deployment.OPERATOR_TOKEN,
    }
    print(f'$ apricotctl {" ".join(arguments)}', flush=True)
    subprocess.run(
        [sys.executable, '-m', 'apricotctl.command', *arguments],
        env=environment,
        check=True,
    )


def submit_bundle(system: deployment.Deployment) -> None:
    """Check the first bundle, sign it as both operators and submit it."""
    path = system.directory / 'bundle.yaml'
    text = yaml.safe_dump(system.make_bundle(1, 0), sort_keys=False)
    path.write_text(text)
    run_ctl(system, 'bundle', 'check', str(path))
    keys = {'author': system.author_pem, 'approver': system.approver_pem}
    for role, pem in keys.items():
        key = system.directory / f'{role}.pem'
        key.write_bytes(pem)
        run_ctl(
            system,
            *('bundle', 'sign', str(path), '--as', role),
            *('--author', deployment.AUTHOR),
            *('--approver', deployment.APPROVER, '--key', str(key)),
        )
    run_ctl(system, 'bundle', 'submit', f'{path}.signed')


def run_request(system: deployment.Deployment, request: DemoRequest) -> bool:
    """Post one request; tell whether the answer is complete and its own."""
    key = callers.make_key()
    trace = f'{os.urandom(16).hex()}'
    reply = callers.post_request(
        system.daemons[request.host].callers,
        request.route,
        request.token,
        request.body,
        key,
        headers={'traceparent': f'00-{trace}-{os.urandom(8).hex()}-01'},
    )
    print(f'\n{request.title}, through {request.host}')
    print(f'  key     {key}')
    print(f'  status  {reply.status}, outcome {reply.outcome}')
    print(f'  runner  {reply.headers.get("apricot-runner")}')
    print(f'  answer  {describe_answer(reply)}')
    is_own = reply.headers.get('apricot-request') == key
    if 'prompt' in request.body:
        is_own = is_own and reply.is_complete_answer(
            key, request.body['max_tokens']
        )
    else:
        is_own = is_own and json.loads(reply.body)['key'] == key
    processes.wait_until(
        lambda: 'runner' in [hop['name'] for hop in read_hops(system, trace)],
        'the trace of a request',
    )
    for hop in read_hops(system, trace):
        milliseconds = (hop['end_ns'] - hop['start_ns']) / 1e6
        print(f'  hop     {hop["name"]:9} {milliseconds:8.2f} ms')
    return is_own and reply.outcome == 'complete'


def describe_answer(reply: callers.Reply) -> str:
    """Return the answer as one line of text."""
    lines = reply.read_lines()
    words = [str(line['text']) for line in lines if 'text' in line]
    return ''.join(words).strip() or reply.body.decode().strip()


def read_hops(
    system: deployment.Deployment, trace: str
) -> list[dict[str, ty.Any]]:
    """Return the spans of a trace, ordered by start time."""
    found = []
    for path in system.directory.glob('*.spans'):
        for line in path.read_text().splitlines():
            span = json.loads(line)
            if span['trace'] == trace:
                found.append(span)
    return sorted(found, key=lambda span: int(span['start_ns']))


def run_demo(system: deployment.Deployment) -> bool:
    """Run the demo; tell whether all requests and stops succeeded."""
    for number in (1, 2, 3):
        system.add_daemon(f'entry-{number}', f'd{number}')
    system.start_platform()
    system.start_runners()
    system.publish_hosts()
    for host in system.daemons:
        system.start_daemon(host)
    for entry_host in system.daemons.values():
        system.wait_for_http(entry_host.callers, '/healthz')
    submit_bundle(system)
    system.wait_ready()
    results = [run_request(system, request) for request in DEMO_REQUESTS]
    print(flush=True)
    run_ctl(system, 'status')
    codes = []
    for host in system.daemons:
        codes.append(system.find_process(host).terminate())
        print(f'{host}: stopped with exit code {codes[-1]}')
    return all(results) and not any(codes)


def main() -> None:
    """Run the demo in a temporary directory."""
    with tempfile.TemporaryDirectory() as name:
        system = deployment.Deployment(pathlib.Path(name))
        try:
            has_passed = run_demo(system)
        finally:
            system.stop()
    print('demo: every answer was whole' if has_passed else 'demo: FAILED')
    sys.exit(0 if has_passed else 1)


if __name__ == '__main__':
    main()
