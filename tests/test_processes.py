"""Tests of the processes that tests start."""

import pathlib
import tempfile

import testtools

from apricotstandins import processes


class TestOutput(testtools.TestCase):
    """Output of a process."""

    def run_one(self, text: str, output: pathlib.Path) -> processes.Process:
        arguments = ['timeit', '-n', '1', '-r', '1', f'print({text!r})']
        process = processes.Process(text, arguments, output)
        self.assertEqual(0, process.wait())
        return process

    def test_output_is_its_own(self) -> None:
        # Guards against reading the output of an earlier process. In a soak
        # run, a restarted host seemed to have started, since its file held
        # the start message of the earlier process. It was sent SIGHUP before
        # it could handle the signal, and was down for the rest of the run.
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        output = pathlib.Path(directory.name) / 'host.log'
        first = self.run_one('first', output)
        second = self.run_one('second', output)
        self.assertIn('first', first.read_output())
        self.assertIn('second', second.read_output())
        self.assertNotIn('first', second.read_output())
