"""Exit codes and messages of commands whose operator configuration is invalid or lacks what they need."""

from __future__ import annotations

from pathlib import Path

import pytest
from click.testing import CliRunner

from shelfhaven.__main__ import EXIT_BAD_CONFIG, main
from tests.operator_config.sources import VALID_FILE


@pytest.mark.parametrize(
    ("arguments", "message"),
    [
        (["nodes"], "there is no membership"),
        (["duties", "list"], "there are no duties"),
        (["duties", "show", "x"], "there are no duties"),
        (["duties", "give", "x", "n2", "--yes"], "there are no duties"),
        (["zones", "show"], "there are no zones"),
        (["zones", "pin", "z", "--away", "0.5", "--yes"], "there are no zones"),
        (["state", "check"], 'there is no "keys" node'),
        (["state", "show", "--most", "3"], 'there is no "keys" node'),
        (["state", "snapshot", "/no/such/folder/copy"], 'there is no "keys" node'),
        (["state", "compact"], 'there is no "keys" node'),
    ],
)
def test_a_command_fails_if_the_file_lacks_the_nodes_that_it_needs(
    arguments: list[str], message: str, tmp_path: Path
) -> None:
    file = tmp_path / "operator.kdl"
    file.write_text(VALID_FILE)
    result = CliRunner().invoke(main, [*arguments, "--operator", str(file)])
    assert result.exit_code == EXIT_BAD_CONFIG
    assert result.output == f"shelfhaven: {file}: {message}\n"


def test_a_command_fails_if_the_file_is_invalid(tmp_path: Path) -> None:
    file = tmp_path / "operator.kdl"
    file.write_text(VALID_FILE.replace("at-once=4", ""))
    result = CliRunner().invoke(main, ["state", "check", "--operator", str(file)])
    assert result.exit_code == EXIT_BAD_CONFIG
    assert result.output == f"shelfhaven: configuration: {file}: work at-once: missing\n"


def test_state_commands_read_the_configured_key_file(tmp_path: Path) -> None:
    file = tmp_path / "operator.kdl"
    file.write_text(VALID_FILE + f'keys file="{tmp_path}/keys.db"\n')
    result = CliRunner().invoke(main, ["state", "show", "--operator", str(file)])
    assert result.exit_code == 3
    assert "no such file" in result.output
