"""Reloads the settings when they were written, or on a signal."""

import collections.abc
import typing as ty

import anyio

from apricotlanding import clocks
from apricotlandingd.gateway.process import inputerrors
from apricotlandingd.gateway.process import settings

__all__ = ['SettingsWatch']

# Interval between checks of the settings file for changes.
SETTINGS_INTERVAL_S = 1.0


@ty.final
class SettingsWatch:
    """Reads the settings again, and applies what can be read."""

    def __init__(
        self,
        reload: collections.abc.Callable[[], settings.GatewaySettings],
        read_stamp: collections.abc.Callable[[], int],
        on_settings: collections.abc.Callable[
            [settings.GatewaySettings], None
        ],
        input_errors: inputerrors.InputErrors,
    ) -> None:
        """Watch without having read anything.

        ``reload`` reads the settings; ``read_stamp`` returns a number that
        changes when they are written.
        """
        self._reload = reload
        self._read_stamp = read_stamp
        self._on_settings = on_settings
        self._input_errors = input_errors

    async def run(self) -> None:
        """Read the settings after each change until cancelled."""
        # The platform may write new settings without a signal. The first pass
        # always reloads them: a change after the initial read, whose signal
        # came before the handler was installed, would otherwise be lost.
        known = None
        while True:
            await anyio.sleep(SETTINGS_INTERVAL_S)
            stamp = self._read_stamp()
            if stamp == known:
                continue
            known = stamp
            self.read()

    def read(self) -> None:
        """Read the settings now."""
        try:
            found = self._reload()
        except Exception as error:
            # The file is incomplete or invalid: the current settings stay in
            # force.
            self._input_errors.report(
                inputerrors.Source.SETTINGS,
                'reload',
                str(error),
                clocks.read_monotonic(),
            )
            return
        for detail in found.ignored:
            self._input_errors.report(
                inputerrors.Source.SETTINGS,
                'ignored',
                detail,
                clocks.read_monotonic(),
            )
        self._on_settings(found)
