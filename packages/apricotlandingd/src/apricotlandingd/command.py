"""The command ``apricotlandingd``."""

import pathlib
import sys

import anyio
import click
import uvloop

from apricotlanding import allocator
from apricotlanding import logs
from apricotlandingd import daemon
from apricotlandingd import settings

__all__ = ['main']

# Invalid settings, or addresses that cannot be bound.
BAD_SETTINGS_EXIT_CODE = 2


@click.command()
@click.option(
    '--settings',
    'path',
    required=True,
    type=click.Path(path_type=pathlib.Path),
    help='YAML file with the settings of this host.',
)
@click.option('--check', is_flag=True, help='Check the settings and exit.')
def main(path: pathlib.Path, check: bool) -> None:
    """Run the apricotlanding daemon of this host.

    SIGTERM stops it gracefully; a second one cancels the open requests.
    """
    loaded = settings.load_settings(path)
    if loaded.is_error():
        for finding in loaded.error:
            click.echo(f'{path}: {finding}', err=True)
        sys.exit(BAD_SETTINGS_EXIT_CODE)
    config = loaded.ok
    if check:
        click.echo(f'{path}: good')
        return
    allocator.return_large_blocks()
    stop_logs = logs.start_logging(host=config.host)
    try:
        anyio.run(
            _run,
            config,
            backend_options={'loop_factory': uvloop.new_event_loop},
        )
    except OSError as error:
        click.echo(
            f'{path}: cannot listen: {error}; give this daemon addresses of'
            ' this host that are free',
            err=True,
        )
        sys.exit(BAD_SETTINGS_EXIT_CODE)
    finally:
        stop_logs()


async def _run(config: settings.Settings) -> None:
    await daemon.Daemon(config).run()


if __name__ == '__main__':
    main()
