"""What a process keeps of the memory that it has freed."""

import subprocess
import sys

import testtools

from apricotlanding import allocator

# Allocates large blocks with small ones between, and frees the large ones.
PROGRAM = """
import sys
from apricotlanding import allocator
from apricotlandingd.gateway.process import processmemory

if 'set' in sys.argv:
    assert allocator.return_large_blocks()
before = processmemory.read_process_bytes()
small = []
for _ in range(3):
    large = []
    for _ in range(20):
        large.append(b'x' * 2_000_000)
        small.append(bytearray(3000))
    del large
print(processmemory.read_process_bytes() - before)
"""


class AllocatorTest(testtools.TestCase):
    """The setting of the C library."""

    def measure_kept(self, *arguments: str) -> int:
        found = subprocess.run(
            [sys.executable, '-c', PROGRAM, *arguments],
            check=True,
            capture_output=True,
        )
        return int(found.stdout)

    def test_large_blocks_are_returned(self) -> None:
        """Guards against freed memory that the process keeps."""
        self.assertLess(self.measure_kept('set'), 2_000_000)

    def test_setting_is_needed(self) -> None:
        """Guards against a setting that has become needless."""
        self.assertGreater(self.measure_kept(), 20_000_000)

    def test_blocks_of_bodies_are_large(self) -> None:
        """Guards against a size from which bodies are not returned."""
        self.assertLessEqual(allocator.LARGE_BLOCK_BYTES, 128 * 1024)
