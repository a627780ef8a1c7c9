"""The command line: parses arguments, runs a command, prints its result and sets the exit code.

It contains no logic of the server or of the configuration. Modules that only some commands need are imported
inside these commands, so that `serve` starts quickly and because some libraries are optional.

The docstrings of commands are their help texts.
"""

from __future__ import annotations

import asyncio
import logging
import signal
import sys
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import TYPE_CHECKING, NoReturn

import click

from shelfhaven import __version__, config
from shelfhaven.program import app, component
from shelfhaven.server.log import LibraryLogHandler, Log

if TYPE_CHECKING:
    from shelfhaven.state.settings import StateSettings

EXIT_CANNOT_START = 1
EXIT_BAD_CONFIG = 2

config_option = click.option(
    "--config",
    "path",
    envvar="GW_CONFIG",
    type=click.Path(path_type=Path),
    help="Platform configuration file (JSON); default: the value of GW_CONFIG. Optional with --operator.",
)
operator_option = click.option(
    "--operator",
    "operator_path",
    type=click.Path(path_type=Path),
    help="Operator configuration file (KDL). Outside the platform no other file is needed.",
)
operator_file_option = click.option(
    "--operator",
    "operator_path",
    type=click.Path(path_type=Path),
    required=True,
    help="Operator configuration file of a node.",
)
confirm_option = click.option(
    "--yes", "confirmed", is_flag=True, help="Apply the change; without this option it is only described."
)


def _zone_options(command: Callable[..., None]) -> Callable[..., None]:
    """Add the parameters of a command that changes a zone: the operator file, the zone and --yes."""
    return operator_file_option(click.argument("zone")(confirm_option(command)))


def _load_or_exit(path: Path | None, operator_path: Path | None) -> component.Files:
    """Return the validated configuration; if it is invalid, print the key and exit."""
    try:
        return component.load(path, operator_path)
    except config.ConfigError as error:
        source = "" if operator_path else f" {path}:" if path else ""
        click.echo(f"shelfhaven: configuration:{source} {error}", err=True)
        sys.exit(EXIT_BAD_CONFIG)


def _exit_bad_operator_file(operator_path: Path, message: str) -> NoReturn:
    """Exit with an error: the operator configuration lacks what the command needs."""
    click.echo(f"shelfhaven: {operator_path}: {message}", err=True)
    sys.exit(EXIT_BAD_CONFIG)


def _print_and_exit(lines: Sequence[str], exit_code: int) -> NoReturn:
    """Print the result of a command, to standard error if it failed, and exit."""
    click.echo("\n".join(lines), err=exit_code != 0)
    sys.exit(exit_code)


@click.group()
def main() -> None:
    """Overload control inside each server of a fleet."""


async def run_application(application: app.App) -> None:
    """Run a server until it has stopped, then block SIGTERM and SIGINT.

    Closing the event loop restores the default signal handlers. A second SIGTERM would then kill a process
    that has shut down gracefully.
    """
    await application.run()
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGTERM, signal.SIGINT})


@main.command()
@config_option
@operator_option
def serve(path: Path | None, operator_path: Path | None) -> None:
    """Run a server until SIGTERM."""
    # keep a SIGHUP during startup pending until its handler is installed; unhandled, it ends the process
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    files = _load_or_exit(path, operator_path)
    log = Log(files.config.name)
    logging.getLogger().handlers = [LibraryLogHandler(log)]
    try:
        asyncio.run(run_application(app.App(files, log, path, operator_path)))
    except OSError as error:
        log.event("cannot_start", error=str(error))
        sys.exit(EXIT_CANNOT_START)


@main.command("check-config")
@config_option
@operator_option
@click.option("--explain", is_flag=True, help="Print every value in force and its origin.")
def check_config(path: Path | None, operator_path: Path | None, explain: bool) -> None:
    """Validate a configuration without starting a server."""
    files = _load_or_exit(path, operator_path)
    node_config, operator = files.config, files.operator
    listeners = [str(node_config.listen)] if node_config.listen else []
    listeners += [
        f"{listen.address} ({listen.protocol})" for listen in (operator.listens if operator else ())
    ]
    class_names = ", ".join(node_config.classes)
    click.echo(
        f"{operator_path or path}: fine; {node_config.name} on {', '.join(listeners)}, classes {class_names}"
    )
    if explain and operator:
        for origin in operator.origins:
            click.echo(f"{origin.path} = {origin.value}  ({origin.origin})")
    elif explain:
        click.echo("no operator configuration: values are the platform's or the defaults described in README")


@main.command()
@click.option("--seconds", type=click.FloatRange(2, 600), default=12.0, show_default=True)
@click.option("--load", type=click.FloatRange(0.1, 10), default=2.0, show_default=True,
              help="Offered load as a multiple of the capacity.")  # fmt: skip
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--duties", "of_singleton_tasks", is_flag=True,
              help="Show a duty instead, whose holder is suspended, replaced and resumed.")  # fmt: skip
def demo(seconds: float, load: float, seed: int, of_singleton_tasks: bool) -> None:
    """Run a node with stub backends on this machine, one of which fails, and print a table of the results."""
    if of_singleton_tasks:
        from shelfhaven.lab.election_demo import main as run_election_demo

        sys.exit(run_election_demo())
    from shelfhaven.lab.demo import main as run_demo

    sys.exit(run_demo(seconds, load, seed))


@main.command()
@click.option(
    "--operator",
    "operator_path",
    type=click.Path(path_type=Path),
    required=True,
    help="Operator configuration file of a node, which has its secret and address.",
)
@click.option("--at", default="", help="Peer address of another node to query instead.")
def nodes(operator_path: Path, at: str) -> None:
    """Print the endpoint list of a running node: its nodes and servers."""
    from shelfhaven.membership import administration

    operator = _load_or_exit(None, operator_path).operator
    if operator is None or operator.membership is None:
        _exit_bad_operator_file(operator_path, "there is no membership")
    output = asyncio.run(administration.describe_list(operator.membership, at))
    _print_and_exit(output.lines, output.exit_code)


@main.group("duties")
def singleton_tasks() -> None:
    """Show and move duties, each of which one node holds at a time."""


def _run_singleton_tasks_command(
    operator_path: Path, name: str, command: str, node: str = "", confirmed: bool = False
) -> NoReturn:
    """Run a command on the singleton task `name`, or on all tasks if it is empty."""
    from shelfhaven.program.singleton_tasks_command import run_command

    files = _load_or_exit(None, operator_path)
    if files.operator is None or files.operator.singleton_tasks is None:
        _exit_bad_operator_file(operator_path, "there are no duties")
    tasks = files.operator.singleton_tasks.tasks
    if name and name not in tasks:
        _exit_bad_operator_file(operator_path, f"no duty {name}; there are: {', '.join(tasks)}")
    output = asyncio.run(run_command(files, name, command, node, confirmed))
    _print_and_exit(output.lines, output.exit_code)


@singleton_tasks.command("list")
@operator_file_option
def list_singleton_tasks(operator_path: Path) -> None:
    """List all duties and their holders."""
    _run_singleton_tasks_command(operator_path, "", "list")


@singleton_tasks.command("show")
@operator_file_option
@click.argument("name")
def show_singleton_task(operator_path: Path, name: str) -> None:
    """Print the details of a duty."""
    _run_singleton_tasks_command(operator_path, name, "show")


@singleton_tasks.command("give")
@operator_file_option
@click.argument("name")
@click.argument("node", default="")
@confirm_option
def give_singleton_task(operator_path: Path, name: str, node: str, confirmed: bool) -> None:
    """Give a duty to a candidate node, by default to the first candidate."""
    _run_singleton_tasks_command(operator_path, name, "give", node, confirmed)


@singleton_tasks.command("take-away")
@operator_file_option
@click.argument("name")
@confirm_option
def disable_singleton_task(operator_path: Path, name: str, confirmed: bool) -> None:
    """Take a duty from its holder; no node holds it until it is given again."""
    _run_singleton_tasks_command(operator_path, name, "take-away", "", confirmed)


@main.group()
def zones() -> None:
    """Show where the traffic of zones goes, and divert it manually."""


def _run_zones_command(
    operator_path: Path, action: str, zone: str = "", diverted_fraction: float = 0.0, confirmed: bool = False
) -> NoReturn:
    """Show all zones, or change the traffic policy of one."""
    files = _load_or_exit(None, operator_path)
    if files.operator is None or files.operator.zones is None:
        _exit_bad_operator_file(operator_path, "there are no zones")
    from shelfhaven.failover.administration import ZoneAction, ZoneCommand
    from shelfhaven.program.failover_command import run_command

    command = ZoneCommand(ZoneAction(action), zone, diverted_fraction, confirmed)
    result = asyncio.run(run_command(files, command))
    _print_and_exit(result.lines, result.exit_code)


@zones.command("show")
@operator_file_option
def zones_show(operator_path: Path) -> None:
    """Print the traffic policy of each zone, the reason for it, and how a running node sees the zones."""
    _run_zones_command(operator_path, "show")


@zones.command("drain")
@_zone_options
def zones_drain(operator_path: Path, zone: str, confirmed: bool) -> None:
    """Divert all traffic of a zone until it is restored."""
    _run_zones_command(operator_path, "drain", zone, 1.0, confirmed)


@zones.command("pin")
@_zone_options
@click.option("--away", "diverted_fraction", type=click.FloatRange(0, 1), default=0.0, show_default=True,
              help="Fraction of the zone's traffic to divert.")  # fmt: skip
def zones_pin(operator_path: Path, zone: str, diverted_fraction: float, confirmed: bool) -> None:
    """Fix the diverted fraction of a zone; with 0 the failover controller diverts none of its traffic."""
    _run_zones_command(operator_path, "pin", zone, diverted_fraction, confirmed)


@zones.command("restore")
@_zone_options
def zones_restore(operator_path: Path, zone: str, confirmed: bool) -> None:
    """Return a zone to the failover controller; diverted traffic comes back in steps."""
    _run_zones_command(operator_path, "restore", zone, 0.0, confirmed)


@zones.command("forget")
@_zone_options
def zones_forget(operator_path: Path, zone: str, confirmed: bool) -> None:
    """Remove a decommissioned zone, which has no nodes and will have none."""
    _run_zones_command(operator_path, "forget", zone, 0.0, confirmed)


@main.group()
def state() -> None:
    """Inspect and maintain the file of the durable key store."""


def _state_settings(operator_path: Path) -> StateSettings:
    """Return the settings of the key store; exit if the operator configuration has none."""
    operator = _load_or_exit(None, operator_path).operator
    if operator is None or operator.state is None:
        _exit_bad_operator_file(operator_path, 'there is no "keys" node')
    return operator.state


@state.command("check")
@operator_file_option
def state_check(operator_path: Path) -> None:
    """Read the whole file and report damaged records, without changing it."""
    settings = _state_settings(operator_path)
    from shelfhaven.state import administration

    _print_and_exit(*administration.run(lambda: administration.check(settings)))


@state.command("show")
@operator_file_option
@click.option("--most", "limit", default=20, show_default=True, help="Maximum number of keys to print.")
def state_show(operator_path: Path, limit: int) -> None:
    """Print the keys that have not expired, without changing the file."""
    settings = _state_settings(operator_path)
    from shelfhaven.state import administration

    _print_and_exit(*administration.run(lambda: administration.show(settings, limit)))


@state.command("snapshot")
@operator_file_option
@click.argument("to", type=click.Path(dir_okay=False, path_type=Path))
def state_snapshot(operator_path: Path, to: Path) -> None:
    """Write a consistent copy of the file; the node may be running."""
    settings = _state_settings(operator_path)
    from shelfhaven.state import administration

    _print_and_exit(*administration.run(lambda: administration.snapshot(settings, to)))


@state.command("restore")
@operator_file_option
@click.argument("source", type=click.Path(exists=True, dir_okay=False, path_type=Path))
def state_restore(operator_path: Path, source: Path) -> None:
    """Replace the file with a snapshot; the node must be stopped."""
    settings = _state_settings(operator_path)
    from shelfhaven.state import administration

    _print_and_exit(*administration.run(lambda: administration.restore(settings, source)))


@state.command("compact")
@operator_file_option
def state_compact(operator_path: Path) -> None:
    """Delete expired keys and shrink the file; the node must be stopped."""
    settings = _state_settings(operator_path)
    from shelfhaven.state import administration

    _print_and_exit(*administration.run(lambda: administration.compact(settings)))


@main.command()
def version() -> None:
    """Print the version."""
    click.echo(__version__)


if __name__ == "__main__":
    main(prog_name="shelfhaven")
