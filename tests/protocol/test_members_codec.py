"""The codec of the status reports to the membership service."""

from __future__ import annotations

from shelfhaven.protocol import members


def test_a_report_states_whether_the_server_accepts_requests() -> None:
    assert members.encode_report("n3", True) == b"HB n3 UP"
    assert members.encode_report("n3", False) == b"HB n3 OUT"
