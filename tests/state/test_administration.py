"""Tests of the commands `shelfhaven state ...`."""

from __future__ import annotations

import asyncio
import shutil
from pathlib import Path

from shelfhaven.lab.election_fleet import soon
from shelfhaven.lab.state_node import Node
from shelfhaven.server import messages
from shelfhaven.state import administration
from shelfhaven.state.administration import ExitCode
from shelfhaven.state.settings import StateSettings
from tests.fleets import played
from tests.state.key_files import PATIENT_DISK, is_closed

LONG_TTL = 600.0  # seconds; no key expires during a test
MAX_START_TIME = 60.0  # seconds that may pass between the restart and the check


@played
async def test_commands_read_beside_a_running_node_and_modify_only_a_closed_file(
    tmp_path: Path,
) -> None:
    node = await Node(tmp_path, disk=PATIENT_DISK, uncertain_period=LONG_TTL).start()
    for number in range(1, 30):
        await node.run(number, time_left=LONG_TTL)
    node.record_intent(77, LONG_TTL)
    await soon(lambda: messages.IntentRecorded(77, True) in node.messages)
    node_settings = node.settings
    lines, code = await asyncio.to_thread(administration.run, lambda: administration.check(node_settings))
    assert (lines, code) == ([f"{node_settings.file}: fine; 30 keys"], ExitCode.OK)
    lines, code = administration.run(lambda: administration.show(node_settings))
    assert lines[0] == "1 intent, 29 served"
    assert "k77" in "\n".join(lines)
    snapshot = tmp_path / "snapshot"
    assert administration.run(lambda: administration.snapshot(node_settings, snapshot))[1] == ExitCode.OK
    assert administration.run(lambda: administration.restore(node_settings, snapshot))[1] == ExitCode.IN_USE
    assert administration.run(lambda: administration.compact(node_settings))[1] == ExitCode.IN_USE
    await node.run(99, time_left=LONG_TTL)
    await node.state.end()
    await soon(lambda: is_closed(node_settings.file))
    assert administration.run(lambda: administration.compact(node_settings))[1] == ExitCode.OK
    lines, code = administration.run(lambda: administration.restore(node_settings, snapshot))
    assert code == ExitCode.OK, lines
    assert lines[0].startswith(f"{node_settings.file}: 30 keys")
    restarted = await Node(tmp_path, disk=PATIENT_DISK, uncertain_period=LONG_TTL).start()
    assert restarted.remaining_validity(5) > 0
    assert restarted.remaining_validity(99) == 0.0
    assert (
        restarted.uncertain_for() > LONG_TTL - MAX_START_TIME
    ), "keys that ran after the snapshot are missing from it"
    await restarted.state.end()
    snapshot.write_bytes(b"nothing")
    assert administration.run(lambda: administration.restore(node_settings, snapshot))[1] == ExitCode.FAILED
    other_settings = StateSettings(tmp_path / "absent")
    assert administration.run(lambda: administration.check(other_settings))[1] == ExitCode.NO_FILE
    shutil.copyfile(snapshot, tmp_path / "absent")
    assert administration.run(lambda: administration.show(other_settings))[1] == ExitCode.FAILED


def test_exit_codes_are_stable_for_scripts() -> None:
    assert {code.name: code.value for code in ExitCode} == {"OK": 0, "NO_FILE": 3, "IN_USE": 4, "FAILED": 5}


def test_a_file_that_is_not_a_database_is_reported_as_damaged(tmp_path: Path) -> None:
    settings = StateSettings(tmp_path / "k")
    settings.file.write_bytes(b"not a database" * 100)
    lines, code = administration.run(lambda: administration.check(settings))
    assert lines == ["Damaged: file is not a database"]
    assert code == ExitCode.FAILED


def test_a_file_that_is_not_a_key_file_is_reported(tmp_path: Path) -> None:
    settings = StateSettings(tmp_path / "k")
    settings.file.write_bytes(b"")
    lines, code = administration.run(lambda: administration.check(settings))
    assert lines == [f"StoreError: {settings.file}: not a key file of format version 1"]
    assert code == ExitCode.FAILED
