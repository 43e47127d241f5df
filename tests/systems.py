"""The base class of tests that run real processes."""

import pathlib
import socket
import tempfile
import typing as ty

import testtools
from testtools import content

from apricotstandins import callers
from apricotstandins import deployment

FESTIN = deployment.FESTIN_TOKEN
ISHAMI = deployment.ISHAMI_TOKEN


class SystemTestCase(testtools.TestCase):
    """Starts a system for each test and stops it afterwards."""

    hosts = 3
    runners: ty.ClassVar[ty.Sequence[deployment.RunnerPlan]] = (
        deployment.DEFAULT_RUNNERS
    )

    def setUp(self) -> None:
        super().setUp()
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.system = deployment.Deployment(
            pathlib.Path(directory.name), self.runners
        )
        self.addCleanup(self.system.stop)
        self.addOnException(self._show_outputs)
        self.configure()
        self.system.start_all(self.hosts)

    def configure(self) -> None:
        """Change the system before it is started."""

    def post(
        self,
        host: str,
        route: str,
        body: dict[str, ty.Any],
        key: str | None = None,
        token: str = FESTIN,
        **options: ty.Any,
    ) -> callers.Reply:
        place = self.system.daemons[host]
        return callers.post_request(
            place.callers, route, token, body, key, **options
        )

    def _show_outputs(self, _: object) -> None:
        for path in sorted(self.system.directory.glob('*.log')):
            lines = path.read_text(errors='replace').splitlines()[-40:]
            text = '\n'.join(line[:400] for line in lines)
            self.addDetail(path.name, content.text_content(text))


def make_prompt(words: int, text: str = 'word') -> str:
    return ' '.join(f'{text}{number}' for number in range(words))


def read_all(caller: socket.socket) -> bytes:
    """Return the data received until the connection ends."""
    received = b''
    while data := caller.recv(65536):
        received += data
    return received
