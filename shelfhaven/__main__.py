"""The command line: serve, check-config, version.

Owns the reading of arguments and the exit codes. It must never hold logic of the server or of the
configuration.
"""

from __future__ import annotations

import asyncio
import logging
import signal
import sys
from pathlib import Path

import click

from shelfhaven import __version__, config
from shelfhaven.server.app import App
from shelfhaven.server.log import FromLibraries, Log

BAD_CONFIG = 2

config_option = click.option(
    "--config",
    "path",
    envvar="GW_CONFIG",
    required=True,
    type=click.Path(path_type=Path),
    help="JSON file with all that the server is told; by default what GW_CONFIG names.",
)


def _load(path: Path) -> config.Config:
    """The checked configuration; a faulty one ends the program with the key's name."""
    try:
        return config.load(path)
    except config.ConfigError as error:
        click.echo(f"shelfhaven: configuration {path}: {error}", err=True)
        sys.exit(BAD_CONFIG)


@click.group()
def main() -> None:
    """Overload control inside each server of a fleet."""


@main.command()
@config_option
def serve(path: Path) -> None:
    """Run one real app server until SIGTERM."""
    # a notice of a new file waits until it can be taken
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    loaded = _load(path)
    log = Log(loaded.name)
    logging.getLogger().handlers = [FromLibraries(log)]
    try:
        asyncio.run(App(loaded, log, path).run())
    except OSError as error:
        log.event("cannot_start", error=str(error))
        sys.exit(1)


@main.command("check-config")
@config_option
def check_config(path: Path) -> None:
    """Read and check a configuration without serving."""
    loaded = _load(path)
    click.echo(f"{path}: fine; {loaded.name} on {loaded.listen}, classes {', '.join(loaded.classes)}")


@main.command()
def version() -> None:
    """Print the version."""
    click.echo(__version__)


if __name__ == "__main__":
    main(prog_name="shelfhaven")
