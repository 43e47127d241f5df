"""A small system of real processes on loopback, for tests and the demo.

``Deployment`` starts the stand-in platform, engines and services, and any
number of daemons, each with its own settings file. It submits bundles and
sets faults. The test decides which of its operations run and when.
"""

import dataclasses
import json
import pathlib
import typing as ty

import yaml

from apricotlanding import bundle
from apricotlanding import ids
from apricotlanding import records
from apricotlanding import signatures
from apricotlanding import submissions
from apricotstandins import callers
from apricotstandins import processes

__all__ = ['Deployment', 'RunnerPlan']

OPERATOR_TOKEN = 'operator-token-of-the-stand-in'  # noqa: S105
PEER_KEY = 'a shared key of the stand-in deployment'
AUTHOR = 'author'
APPROVER = 'approver'
FESTIN_TOKEN = 'token-of-festin'  # noqa: S105
ISHAMI_TOKEN = 'token-of-ishami'  # noqa: S105
TIERS = ['rebuild', 'briefing', 'lookup', 'note', 'batch']


@ty.final
@dataclasses.dataclass(frozen=True, slots=True)
class RunnerPlan:
    """Configuration of one back end."""

    name: str
    pool: str
    kind: str = 'engine'
    domain: str = 'd1'
    factor: float = 1.0
    slots: int = 8
    checks_fencing: bool = False


DEFAULT_RUNNERS: ty.Final = [
    RunnerPlan('planner-1', 'planners', domain='d1', checks_fencing=True),
    RunnerPlan('planner-2', 'planners', domain='d2', factor=2.0),
    RunnerPlan('manifest-1', 'manifests', kind='service', domain='d1'),
]


@dataclasses.dataclass(slots=True)
class EntryHost:
    """Addresses and process of one entry host."""

    host: str
    domain: str
    callers: str
    peers: str
    operators: str
    host_list: str
    process: processes.Process | None = None
    state: str = 'live'


@ty.final
class Deployment:
    """All processes of one system."""

    def __init__(
        self,
        directory: pathlib.Path,
        runners: ty.Sequence[RunnerPlan] = DEFAULT_RUNNERS,
    ) -> None:
        """Allocate addresses and create keys; no process is started."""
        self.directory = directory
        self.runners = list(runners)
        self.log = _make_address()
        # With relays, the host list of each daemon contains the addresses of
        # relays in place of those of the other daemons.
        self.has_relays = False
        self.relay_control = _make_address()
        # Relay addresses by ``source>target``; the target may be ``log``.
        self.relays: dict[str, str] = {}
        self.runner_addresses = {
            plan.name: _make_address() for plan in self.runners
        }
        self.daemons: dict[str, EntryHost] = {}
        self.processes: dict[str, processes.Process] = {}
        self.author_pem = signatures.make_private_key()
        self.approver_pem = signatures.make_private_key()
        # Merged into the settings of daemons that are started later.
        self.extra_settings: dict[str, ty.Any] = {'drain_grace_s': 0.3}
        # Merged into the ``ownership`` part of bundles.
        self.ownership: dict[str, ty.Any] = {
            'claim_shards': 4,
            'lease_s': 1.0,
            'takeover_after_s': 2.0,
            'outage_limit_s': 60.0,
        }
        self.limits: dict[str, ty.Any] = {}
        # Merged into every pool.
        self.pool_settings: dict[str, ty.Any] = {}
        # Replaces top-level keys of every bundle.
        self.bundle_overrides: dict[str, ty.Any] = {}

    # Start and stop.

    def start_platform(self) -> None:
        """Start the log, the host lists and the relays, if enabled."""
        arguments = ['apricotstandins', 'platform', '--log', self.log]
        for entry_host in self.daemons.values():
            arguments += ['--hosts', entry_host.host_list]
        self._start('platform', arguments)
        self.wait_for_http(self.log, '/standin/faults')
        for entry_host in self.daemons.values():
            self.wait_for_http(entry_host.host_list, '/hosts')
        if self.has_relays:
            self._start_relays()

    def start_runners(self) -> None:
        """Start all back ends."""
        for plan in self.runners:
            self.start_runner(plan)
        for plan in self.runners:
            self.wait_for_http(
                self.runner_addresses[plan.name], '/standin/witness'
            )

    def start_runner(self, plan: RunnerPlan) -> None:
        """Start one back end."""
        listen = ['--listen', self.runner_addresses[plan.name]]
        arguments = ['apricotstandins', plan.kind, '--name', plan.name]
        if plan.kind == 'engine':
            arguments += ['--factor', str(plan.factor)]
            arguments += ['--batch', str(plan.slots)]
            if plan.checks_fencing:
                arguments.append('--checks-fencing')
        self._start(plan.name, arguments + listen)

    def add_daemon(self, host: str, domain: str) -> EntryHost:
        """Allocate the addresses of a daemon."""
        entry_host = EntryHost(
            host,
            domain,
            callers=_make_address(),
            peers=_make_address(),
            operators=_make_address(),
            host_list=_make_address(),
        )
        self.daemons[host] = entry_host
        return entry_host

    def start_daemon(self, host: str) -> None:
        """Start a daemon without waiting; see ``wait_ready``."""
        entry_host = self.daemons[host]
        path = self.directory / f'{host}.yaml'
        path.write_text(yaml.safe_dump(self._make_settings(entry_host)))
        entry_host.process = self._start(
            host, ['apricotlandingd.command', '--settings', str(path)]
        )

    def start_all(self, hosts: int = 3) -> None:
        """Start all processes and submit the first bundle."""
        for number in range(1, hosts + 1):
            self.add_daemon(f'entry-{number}', f'd{number}')
        self.start_platform()
        self.start_runners()
        self.publish_hosts()
        for host in self.daemons:
            self.start_daemon(host)
        for entry_host in self.daemons.values():
            self.wait_for_http(entry_host.callers, '/healthz')
        self.submit(self.make_bundle(1, 0))
        self.wait_ready()

    def wait_ready(self) -> None:
        """Wait until every daemon is ready and every shard is served."""
        processes.wait_until(self._are_ready, 'every daemon is ready')

    def stop(self) -> None:
        """Kill every process that was started here."""
        for process in self.processes.values():
            process.resume()
            process.kill()

    # Bundles.

    def make_bundle(
        self, version: int, base: int, **changes: ty.Any
    ) -> dict[str, ty.Any]:
        """Return a bundle as plain data, with changed top-level keys."""
        value: dict[str, ty.Any] = {
            'version': version,
            'base': base,
            'ownership': dict(self.ownership),
            'limits': dict(self.limits),
            'tiers': list(TIERS),
            'organisations': [
                {
                    'name': 'festin',
                    'weight': 4.0,
                    'token_sha256': [bundle.hash_token(FESTIN_TOKEN)],
                },
                {
                    'name': 'ishami',
                    'weight': 2.0,
                    'token_sha256': [bundle.hash_token(ISHAMI_TOKEN)],
                },
            ],
            'routes': _make_routes({plan.pool for plan in self.runners}),
            'pools': self._make_pools(),
        }
        return value | self.bundle_overrides | changes

    def sign(
        self, value: dict[str, ty.Any], author: str = AUTHOR
    ) -> records.BundleRecord:
        """Return the bundle, signed by both operators."""
        text = yaml.safe_dump(value, sort_keys=False).encode()
        other = APPROVER if author == AUTHOR else AUTHOR
        return records.BundleRecord(
            version=ids.Version(value['version']),
            base=ids.Version(value['base']),
            author=author,
            approver=other,
            text=text,
            author_signature=signatures.sign_bundle(
                self._find_key(author), True, author, other, text
            ),
            approver_signature=signatures.sign_bundle(
                self._find_key(other), False, author, other, text
            ),
        )

    def submit(
        self,
        value: dict[str, ty.Any],
        host: str | None = None,
        author: str = AUTHOR,
    ) -> callers.Reply:
        """Submit a bundle through a daemon, by default the first."""
        entry_host = self.daemons[host or next(iter(self.daemons))]
        return self.call_operator(
            entry_host.host,
            'POST',
            '/v1/bundle',
            submissions.encode_submission(self.sign(value, author)),
        )

    # Inspection and fault injection.

    def call_operator(
        self, host: str, method: str, path: str, body: bytes = b''
    ) -> callers.Reply:
        """Call a daemon's operator listener."""
        return callers.call_http(
            self.daemons[host].operators,
            method,
            path,
            body,
            {'Authorization': f'Bearer {OPERATOR_TOKEN}'},
            20.0,
        )

    def read_status(self, host: str) -> dict[str, ty.Any]:
        """Return a daemon's status; empty if it is not available."""
        reply = self.call_operator(host, 'GET', '/v1/status')
        if reply.status != 200:
            return {}
        return ty.cast('dict[str, ty.Any]', json.loads(reply.body))

    def read_witness(self, runner: str) -> dict[str, ty.Any]:
        """Return the counters of a back end."""
        found = _call_json(
            self.runner_addresses[runner], 'GET', '/standin/witness'
        )
        return ty.cast('dict[str, ty.Any]', found)

    def count_executions(self, key: str) -> int:
        """Return the number of executions of a key on all back ends."""
        return sum(
            self.read_witness(plan.name)['executions'].get(key, 0)
            for plan in self.runners
        )

    def set_faults(self, name: str, **faults: ty.Any) -> None:
        """Set the faults of a back end, or of the ``log``."""
        address = self.log if name == 'log' else self.runner_addresses[name]
        _call_json(address, 'POST', '/standin/faults', faults)

    def publish_hosts(self) -> None:
        """Publish the current hosts in every host list."""
        for viewer in self.daemons.values():
            hosts: list[dict[str, ty.Any]] = [
                {
                    'name': entry_host.host,
                    'state': entry_host.state,
                    'domain': entry_host.domain,
                    'peers': self._find_peer_address(viewer, entry_host),
                }
                for entry_host in self.daemons.values()
            ]
            hosts += [
                {'name': plan.name, 'state': 'live', 'domain': plan.domain}
                for plan in self.runners
            ]
            _call_json(
                viewer.host_list, 'POST', '/standin/hosts', {'hosts': hosts}
            )

    def set_host_state(self, name: str, state: str) -> None:
        """Set a host's state in every list: live, leaving or gone."""
        change = {'name': name, 'state': state}
        for viewer in self.daemons.values():
            _call_json(viewer.host_list, 'POST', '/standin/state', change)

    def set_host_lag(self, seconds: float) -> None:
        """Delay the visibility of later changes to the host lists."""
        for viewer in self.daemons.values():
            _call_json(
                viewer.host_list, 'POST', '/standin/lag', {'lag_s': seconds}
            )

    def set_link_faults(self, **faults: dict[str, ty.Any]) -> None:
        """Set faults of relays by name, such as ``entry-1>entry-2``."""
        _call_json(self.relay_control, 'POST', '/standin/routes', faults)

    def cut_host(
        self, host: str, is_cut: bool, is_one_way: bool = False
    ) -> None:
        """Partition a host from all other daemons, or heal the partition."""
        faults: dict[str, dict[str, ty.Any]] = {}
        for name in self.relays:
            source, _, target = name.partition('>')
            if host not in (source, target) or target == 'log':
                continue
            is_source = source == host
            # One way: only data that the host sends is blocked.
            faults[name] = {
                'cut_forward': is_cut and (is_source or not is_one_way),
                'cut_back': is_cut and (not is_source or not is_one_way),
            }
        self.set_link_faults(**faults)

    def cut_log(self, host: str, is_cut: bool) -> None:
        """Partition a host from the log only, or heal the partition."""
        fault = {'cut_forward': is_cut, 'cut_back': is_cut}
        self.set_link_faults(**{f'{host}>log': fault})

    def find_process(self, host: str) -> processes.Process:
        """Return a daemon's latest process; KeyError if there is none."""
        process = self.daemons[host].process
        if process is None:
            raise KeyError(f'{host} was never started')
        return process

    def find_owner(self, shard: str, host: str | None = None) -> str:
        """Return the owner that serves a shard in a daemon's view, or ''."""
        asked = host or next(iter(self.daemons))
        found = self.read_status(asked).get('shards', {}).get(shard)
        if found is None or not found['serving']:
            return ''
        return str(found['owner'])

    # Helpers.

    def _start_relays(self) -> None:
        arguments = ['apricotstandins', 'relay']
        arguments += ['--control', self.relay_control]
        for source in self.daemons.values():
            targets = {
                entry_host.host: entry_host.peers
                for entry_host in self.daemons.values()
                if entry_host is not source
            }
            for target, address in (targets | {'log': self.log}).items():
                name = f'{source.host}>{target}'
                self.relays[name] = _make_address()
                arguments.append(f'{name}={self.relays[name]}={address}')
        self._start('relay', arguments)
        self.wait_for_http(self.relay_control, '/standin/routes')

    def _find_peer_address(
        self, viewer: EntryHost, entry_host: EntryHost
    ) -> str:
        name = f'{viewer.host}>{entry_host.host}'
        return self.relays.get(name, entry_host.peers)

    def _start(self, name: str, arguments: list[str]) -> processes.Process:
        process = processes.Process(
            name, arguments, self.directory / f'{name}.log'
        )
        self.processes[f'{name}/{process.pid}'] = process
        return process

    def _make_settings(self, entry_host: EntryHost) -> dict[str, ty.Any]:
        keys = ((AUTHOR, self.author_pem), (APPROVER, self.approver_pem))
        return {
            'host': entry_host.host,
            'domain': entry_host.domain,
            'callers': entry_host.callers,
            'peers': entry_host.peers,
            'operators_listen': entry_host.operators,
            'log': self.relays.get(f'{entry_host.host}>log', self.log),
            'host_list': entry_host.host_list,
            'peer_key': PEER_KEY,
            'operator_token_sha256': [bundle.hash_token(OPERATOR_TOKEN)],
            'operators': [
                {
                    'name': name,
                    'public_key': signatures.format_public_key(pem),
                }
                for name, pem in keys
            ],
            'trace_file': str(self.directory / f'{entry_host.host}.spans'),
        } | self.extra_settings

    def _make_pools(self) -> list[dict[str, ty.Any]]:
        pools: dict[str, dict[str, ty.Any]] = {}
        for plan in self.runners:
            pool = pools.setdefault(
                plan.pool,
                {'name': plan.pool, 'runners': []} | self.pool_settings,
            )
            pool['runners'].append(
                {
                    'name': plan.name,
                    'kind': plan.kind,
                    'address': self.runner_addresses[plan.name],
                    'generation': f'g{plan.factor:g}',
                    'domain': plan.domain,
                    'slots': plan.slots,
                    'checks_fencing': plan.checks_fencing,
                }
            )
        return list(pools.values())

    def _find_key(self, name: str) -> bytes:
        return self.author_pem if name == AUTHOR else self.approver_pem

    def _are_ready(self) -> bool:
        return all(
            self._is_ready(entry_host)
            for entry_host in self.daemons.values()
            if entry_host.process is not None
            and entry_host.process.is_running()
        )

    def _is_ready(self, entry_host: EntryHost) -> bool:
        reply = callers.call_http(entry_host.callers, 'GET', '/readyz')
        if reply.status != 200:
            return False
        shards = self.read_status(entry_host.host).get('shards', {})
        pools = {plan.pool for plan in self.runners}
        expected = self.ownership['claim_shards'] + len(pools)
        if len(shards) < expected:
            return False
        return all(
            shard['serving'] and shard['reachable']
            for shard in shards.values()
        )

    def wait_for_http(self, address: str, path: str) -> None:
        """Wait until an address answers with status 200."""
        processes.wait_until(
            lambda: callers.call_http(address, 'GET', path).status == 200,
            f'{address}{path}',
        )


def _make_address() -> str:
    return f'127.0.0.1:{processes.find_port()}'


def _call_json(
    address: str, method: str, path: str, value: ty.Any = None
) -> ty.Any:
    body = b'' if value is None else json.dumps(value).encode()
    reply = callers.call_http(address, method, path, body)
    if reply.status != 200:
        raise AssertionError(f'{address}{path}: {reply}')
    return json.loads(reply.body)


def _make_routes(pools: set[str]) -> list[dict[str, ty.Any]]:
    routes = [
        ('rebuild', 'planners', 'rebuild', 'at-most-once', 120_000),
        ('briefing', 'planners', 'briefing', 'idempotent', 60_000),
        ('note', 'planners', 'note', 'idempotent', 60_000),
        ('report', 'planners', 'batch', 'at-most-once', 120_000),
        ('lookup', 'manifests', 'lookup', 'idempotent', 30_000),
        ('manifest', 'manifests', 'rebuild', 'at-most-once', 30_000),
    ]
    return [
        {
            'name': name,
            'pool': pool,
            'tier': tier,
            'repeat': repeat,
            'deadline_ms': deadline,
        }
        for name, pool, tier, repeat, deadline in routes
        if pool in pools
    ]
