"""The adapter: instances, settings, errors on invalid input, and the same replies in each process."""

import io
import subprocess
import sys

import pytest

from shelfhaven import config
from shelfhaven.decision.settings import CancelMode, DownstreamKind, LoadAdvertisement, RetrySafety
from shelfhaven.simulation import wire
from shelfhaven.simulation.adapter import Adapter, serve
from shelfhaven.simulation.wire import Batch, Record

OPTIONS = """\
classes.count=2
classes.0.deadline=6.0
classes.0.late-worth=0.0
classes.0.name=look
classes.0.on-time=1.5
classes.0.points=1.0
classes.0.repeat=repeatable
classes.1.deadline=4.0
classes.1.key-ttl=9.0
classes.1.late-worth=0.25
classes.1.name=pay
classes.1.on-time=1.0
classes.1.points=3.0
classes.1.repeat=by_key
domain.advert=window
domain.class-calls=true,false
domain.class-skip-worth=0.4,0.0
domain.cold=true
domain.cores=4
domain.downstream=tier
domain.gauges=cpu_busy,runnable,mem_used,sockets
domain.key-kb=10.5
domain.memory-kb=9000.0
domain.run-factor=4.0
domain.stop-mode=suspend
domain.upstreams=3
invariants.answer-slack=0.06
invariants.tip-multiple=5.0
something.new=ignored
tenants.count=1
tenants.0.name=one
tenants.0.quota-per-s=12.0
tick=0.002
value-by=work
"""


def _spawn(instance: int, options: str = OPTIONS) -> Record:
    return Record("Spawn", {"who": instance, "rng-seed": 7, "options": options})


def _arrival(instance: int, request_id: int, caller: int = 1, class_index: int = 0) -> Record:
    return Record(
        "Arrival",
        {"who": instance, "txn": request_id, "src": caller, "service": class_index, "footprint": 20.0},
    )


def _reply(adapter: Adapter, now: float, number: int, *events: Record) -> list[Record]:
    number_in_reply, actions = wire.decode_reply(
        adapter.answer(wire.encode_batch(Batch(now, number, list(events))))
    )
    assert number_in_reply == number
    return actions


def test_settings_are_parsed_from_option_paths() -> None:
    settings = config.parse_lines(OPTIONS)
    assert (
        settings.cores,
        settings.memory_kb,
        settings.callers,
        settings.replicas,
        settings.starts_cold,
    ) == (4, 9000.0, 3, 1, True)
    assert (
        settings.cancel_mode,
        settings.load_advertisement,
        settings.downstream,
        settings.weight_by_work,
    ) == (
        CancelMode.SUSPEND,
        LoadAdvertisement.WINDOW,
        DownstreamKind.TIER,
        True,
    )
    look, pay = settings.classes
    assert (look.retry_safety, look.calls_downstream, look.weight_without_call) == (
        RetrySafety.IDEMPOTENT,
        True,
        0.4,
    )
    assert (pay.retry_safety, pay.key_ttl, pay.priority_weight, pay.late_weight) == (
        RetrySafety.IDEMPOTENCY_KEY,
        9.0,
        3.0,
        0.25,
    )
    assert settings.gauges == ("cpu_busy", "runnable", "mem_used", "sockets")
    assert settings.tenants[0].quota_per_s == 12.0


def test_requests_run_and_instances_share_no_state() -> None:
    adapter = Adapter()
    _reply(adapter, 0.0, 1, _spawn(1), _spawn(2))
    actions = _reply(adapter, 1.0, 2, _arrival(1, 10), _arrival(2, 10))
    instances_with_run = [action.fields["who"] for action in actions if action.name == "Begin"]
    assert instances_with_run == [1, 2]
    run_over = Record("RunOver", {"who": 1, "txn": 10, "how": 200, "spent": 0.2})
    assert all(action.fields["who"] == 1 for action in _reply(adapter, 1.2, 3, run_over))


def test_an_empty_batch_and_an_unknown_instance_get_an_empty_reply() -> None:
    adapter = Adapter()
    assert _reply(adapter, 0.0, 1) == []
    assert _reply(adapter, 0.0, 2, _arrival(9, 1)) == []


def test_retire_and_spawn_of_an_instance_in_one_batch_give_it_a_new_controller() -> None:
    adapter = Adapter()
    _reply(adapter, 0.0, 1, _spawn(1))
    _reply(adapter, 1.0, 2, _arrival(1, 10))
    old_controller = adapter.controllers[1]
    _reply(adapter, 2.0, 3, Record("Retire", {"who": 1}), _spawn(1))
    assert adapter.controllers[1] is not old_controller
    assert adapter.controllers[1].state.requests.by_id == {}


@pytest.mark.parametrize(
    ("options", "message_part"),
    [(OPTIONS.replace("cores=4", "cores=0"), "core"), (OPTIONS.replace("s.count=2", "s.count=0"), "classes")],
)
def test_invalid_settings_become_an_exception_record(options: str, message_part: str) -> None:
    actions = _reply(Adapter(), 0.0, 1, _spawn(1, options))
    assert [action.name for action in actions] == ["Exception"]
    assert message_part in str(actions[0].fields["text"])


def test_serve_stops_at_the_end_of_input() -> None:
    sink = io.BytesIO()
    serve(io.BytesIO(wire.encode_batch(Batch(0.0, 1, [])) + wire.encode_batch(Batch(0.1, 2, []))), sink)
    assert sink.getvalue() == wire.encode_reply(1, []) + wire.encode_reply(2, [])


def _run_adapter(frames: bytes) -> "subprocess.CompletedProcess[bytes]":
    command = [sys.executable, "-m", "shelfhaven.simulation"]
    return subprocess.run(command, input=frames, capture_output=True, timeout=30, check=False)


def test_invalid_input_prints_one_line_and_ends_with_an_error_status() -> None:
    completed = _run_adapter(wire.encode_batch(Batch(0.0, 1, []))[:-2])
    assert completed.returncode != 0
    assert completed.stdout == b""
    assert completed.stderr.decode().startswith("shelfhaven: input ended")
    assert completed.stderr.count(b"\n") == 1


def test_an_unknown_outcome_is_an_error() -> None:
    adapter = Adapter()
    _reply(adapter, 0.0, 1, _spawn(1))
    with pytest.raises(wire.WireError, match="unknown outcome 299"):
        _reply(adapter, 0.1, 2, Record("RunOver", {"who": 1, "txn": 1, "how": 299, "spent": 0.0}))


def test_two_processes_reply_to_the_same_events_with_the_same_bytes() -> None:
    frames = [wire.encode_batch(Batch(0.0, 1, [_spawn(1), _spawn(2)]))]
    for n in range(60):
        events = [_arrival(1 + n % 2, 100 + n, caller=n % 5, class_index=n % 2)]
        frames.append(wire.encode_batch(Batch(0.05 * n, n + 2, events)))
    first, second = _run_adapter(b"".join(frames)), _run_adapter(b"".join(frames))
    assert first.returncode == 0
    assert len(first.stdout) > 60 * 12
    assert first.stdout == second.stdout
