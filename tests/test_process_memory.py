"""The memory of the process, as metrics report it."""

import testtools

from apricotlandingd.gateway.process import processmemory

STATUS = 'Name:\tpython3\nVmRSS:\t  61000 kB\nRssAnon:\t   42000 kB\n'


class ProcessMemoryTest(testtools.TestCase):
    """What the system says of a process."""

    def test_memory_without_files_is_read(self) -> None:
        """Guards against a figure that counts mapped files."""
        self.assertEqual(42000 * 1024, processmemory.parse_status(STATUS))

    def test_status_without_the_field_is_zero(self) -> None:
        """Guards against metrics that fail on another system."""
        for text in ('', '\n', 'RssAnon:', 'RssAnon:\tx kB', 'VmRSS: 1 kB'):
            self.assertEqual(0, processmemory.parse_status(text))

    def test_own_memory_is_read(self) -> None:
        """Guards against a wrong path."""
        before = processmemory.read_process_bytes()
        block = b'x' * 50_000_000
        grown = processmemory.read_process_bytes() - before
        self.assertGreater(grown, len(block) // 2)
