"""Tests of what a node recovers from the key file at startup."""

from __future__ import annotations

from pathlib import Path

from shelfhaven.lab.election_fleet import soon
from shelfhaven.lab.state_node import Node, key
from shelfhaven.server import messages
from tests.fleets import played
from tests.state.key_files import PATIENT_DISK, is_closed


@played
async def test_uncertain_keys_are_found_after_a_restart(tmp_path: Path) -> None:
    first = Node(tmp_path, disk=PATIENT_DISK)
    first.state.record_uncertain(messages.DurableKey(key(1), "topup", "one", "k1", 11.0))
    await first.start()
    first.state.record_uncertain(messages.DurableKey(key(2), "topup", "one", "k2", 11.0))
    await soon(lambda: first.state.writes.is_idle)
    await first.state.end()
    second = await Node(tmp_path, disk=PATIENT_DISK).start()
    assert [second.remaining_validity(number) > 0 for number in (1, 2, 3)] == [True, True, False]
    assert second.uncertain_for() == 0.0
    await second.state.end()


@played
async def test_a_damaged_file_is_quarantined_and_any_key_may_have_run_for_the_uncertain_period(
    tmp_path: Path,
) -> None:
    first = await Node(tmp_path, disk=PATIENT_DISK).start()
    await first.run(1)
    await first.state.end()
    file = tmp_path / "k"
    await soon(lambda: is_closed(file))
    file.write_bytes(b"not a database" * 100)
    second = await Node(tmp_path, disk=PATIENT_DISK).start()
    assert 10.0 < second.uncertain_for() <= 11.0
    assert len(list(tmp_path.glob("k.aside-*"))) == 1
    await second.run(2)
    await second.state.end()
    await soon(lambda: is_closed(file))
    third = await Node(tmp_path, disk=PATIENT_DISK).start()
    assert third.uncertain_for() > 10.0, "a restart within the uncertain period begins it again"
    await third.state.end()
    await soon(lambda: is_closed(file))
    for path in tmp_path.glob("k*"):
        if "aside" not in path.name:
            path.unlink()
    fourth = await Node(tmp_path, disk=PATIENT_DISK).start()
    assert fourth.uncertain_for() > 10.0, "a new file beside a quarantined one makes all keys uncertain"
    await fourth.state.end()
