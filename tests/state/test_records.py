"""Tests of the checksums and the label of a record."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from shelfhaven.state.records import KeyRecord, RunState, decode_label, record_checksum, verified_result
from tests.state.key_files import LABEL


@given(st.binary(min_size=16, max_size=16), st.sampled_from(RunState), st.integers(0, 99), st.floats(0, 1e12),
       st.binary(max_size=40), st.none() | st.binary(max_size=40), st.integers(0, 200))  # fmt: skip
def test_a_change_of_any_column_is_detected_by_the_checksum(
    digest: bytes,
    run_state: RunState,
    boot: int,
    expires_at: float,
    label: bytes,
    result: bytes | None,
    index: int,
) -> None:
    record = KeyRecord(digest, run_state, boot, expires_at, label, result)
    head = [digest, run_state.value, boot, expires_at, label, record.result_checksum]
    assert record_checksum(*head) == record.checksum  # type: ignore[arg-type]
    changed = list(head)
    column = index % len(head)
    changed[column] = head[column] + (b"x" if isinstance(head[column], bytes) else 1)  # type: ignore[operator]
    if changed[column] != head[column]:
        assert record_checksum(*changed) != record.checksum  # type: ignore[arg-type]
    assert verified_result(result, record.result_checksum) == result
    assert verified_result(b"another" + (result or b""), record.result_checksum) is None


def test_a_damaged_label_is_decoded_as_question_marks() -> None:
    assert decode_label(LABEL) == ("topup", "one", "k")
    assert decode_label(b"\xff") == decode_label(b"[1]") == ("?", "?", "?")
