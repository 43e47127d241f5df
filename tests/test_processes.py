"""Processes that tests start."""

import pathlib
import tempfile

import testtools

from apricotstandins import processes


class TestOutput(testtools.TestCase):
    """What a process has written."""

    def run_one(self, text: str, output: pathlib.Path) -> processes.Process:
        arguments = ['timeit', '-n', '1', '-r', '1', f'print({text!r})']
        process = processes.Process(text, arguments, output)
        self.assertEqual(0, process.wait())
        return process

    def test_output_is_its_own(self) -> None:
        # A host of a soak is away for the rest of the run. It was started
        # again, and its file held the earlier start's word that it had
        # started; so it was sent SIGHUP before it could take one, and ended.
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        output = pathlib.Path(directory.name) / 'host.log'
        first = self.run_one('first', output)
        second = self.run_one('second', output)
        self.assertIn('first', first.read_output())
        self.assertIn('second', second.read_output())
        self.assertNotIn('first', second.read_output())
