"""Blocks of ports that tests reserve, and processes that outlive them."""

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import typing as ty

import testtools

# Starts a process in a block of ports, names both, and ends as by SIGKILL.
STARTER = """
import json, os, pathlib, signal, sys
from apricotstandins import processes

port = processes.find_port()
left = processes.Process(
    'left',
    ['http.server', '--bind', '127.0.0.1', str(port)],
    pathlib.Path(sys.argv[1], 'left.log'),
)
found = {'guard': port // 100 * 100, 'pid': left.pid}
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
    """A block is free when nobody is left who knows its addresses."""

    def test_left_over_process_keeps_its_block(self) -> None:
        # A test run is killed and its daemons live on. They keep calling the
        # addresses of those that ended with it. The next run chose the same
        # block, put a runner's stand-in on such a port, and the stand-in read
        # the daemons' handshake as "illegal request line".
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
