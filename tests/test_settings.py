"""Bad settings, and trace files and metrics hosts that are unavailable."""

import json
import socket

import yaml

from apricotstandins import callers
from apricotstandins import processes
import systems

BAD_SETTINGS_EXIT_CODE = 2


class TestSettings(systems.SystemTestCase):
    """One daemon, whose traces and metrics cannot be delivered."""

    hosts = 1

    def configure(self) -> None:
        # A directory that does not exist, and a port without a listener.
        self.system.extra_settings |= {
            'trace_file': '/proc/nowhere/spans',
            'statsd': f'127.0.0.1:{processes.find_port()}',
        }

    def test_unavailable_traces_and_metrics_do_no_harm(self) -> None:
        for _ in range(5):
            key = callers.make_key()
            body = {'prompt': 'a b c', 'max_tokens': 4}
            reply = self.post('entry-1', 'rebuild', body, key)
            self.assertTrue(reply.is_complete_answer(key, 4))

    def test_bad_settings_exit_with_the_remedy(self) -> None:
        path = self.system.directory / 'bad.yaml'
        path.write_text('host: entry-1\ndomain: d1\ncallers: nowhere\n')
        process = self.start(str(path))
        self.assertEqual(BAD_SETTINGS_EXIT_CODE, process.wait())
        self.assertIn('line 3: callers', process.read_output())
        self.assertIn('write IP:PORT', process.read_output())

    def test_used_address_exits_with_the_remedy(self) -> None:
        with socket.create_server(('127.0.0.1', 0)) as taken:
            good = self.system.directory / 'entry-1.yaml'
            value = yaml.safe_load(good.read_text())
            value['callers'] = f'127.0.0.1:{taken.getsockname()[1]}'
            value['peers'] = f'127.0.0.1:{processes.find_port()}'
            path = self.system.directory / 'taken.yaml'
            path.write_text(yaml.safe_dump(value))
            process = self.start(str(path))
            self.assertEqual(BAD_SETTINGS_EXIT_CODE, process.wait())
        self.assertIn('addresses of this host', process.read_output())

    def test_log_lines_are_json_and_name_the_request(self) -> None:
        key = callers.make_key()
        self.post('entry-1', 'manifest', {'van': 1}, key)
        process = self.system.find_process('entry-1')
        processes.wait_until(
            lambda: '"request:end"' in process.read_output(),
            'the request:end line',
        )
        lines = [
            json.loads(line) for line in process.read_output().splitlines()
        ]
        first = next(line for line in lines if line.get('key') == key)
        tree = [
            line['task_uuid'] == first['task_uuid']
            for line in lines
            if line.get('message_type') == 'request:end'
        ]
        self.assertEqual([True], tree)

    def start(self, path: str) -> processes.Process:
        output = self.system.directory / 'bad.out'
        process = processes.Process(
            'bad', ['apricotlandingd.command', '--settings', path], output
        )
        self.addCleanup(process.kill)
        return process
