"""Tests of the port blocks that test runs reserve."""

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import typing as ty

import testtools

# Starts a process in a port block, prints both and kills itself.
STARTER = """
import json, os, pathlib, signal, sys
from apricotstandins import processes

port = processes.find_port()
orphan = processes.Process(
    'orphan',
    ['http.server', '--bind', '127.0.0.1', str(port)],
    pathlib.Path(sys.argv[1], 'orphan.log'),
)
found = {'guard': port // 100 * 100, 'pid': orphan.pid}
print(json.dumps(found), flush=True)
os.kill(os.getpid(), signal.SIGKILL)
"""


def is_port_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind(('127.0.0.1', port))
        except OSError:
            return False
        return True


class TestPortBlocks(testtools.TestCase):
    """A block is free when all processes that use it have ended."""

    def test_orphan_keeps_its_block(self) -> None:
        # When a test run is killed, its daemons continue to call the
        # addresses of the processes that ended. If the next run chose the
        # same block and started a runner's stand-in on such a port, the
        # stand-in would read the daemons' handshake and report an "illegal
        # request line".
        orphan = self.start_orphan()
        guard, pid = orphan['guard'], orphan['pid']
        try:
            self.assertFalse(is_port_free(guard))
        finally:
            os.kill(pid, signal.SIGKILL)

    def start_orphan(self) -> dict[str, ty.Any]:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        starter = subprocess.run(
            [sys.executable, '-c', STARTER, directory.name],
            stdout=subprocess.PIPE,
            check=False,
        )
        self.assertEqual(-signal.SIGKILL, starter.returncode)
        found: dict[str, ty.Any] = json.loads(starter.stdout)
        return found
