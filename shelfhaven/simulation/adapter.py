"""The adapter: passes each event of a frame to the controller of its instance and replies with their actions.

One process hosts several simulated server instances.  They share no state: each has its own controller.
"""

from __future__ import annotations

from typing import BinaryIO

from shelfhaven import config
from shelfhaven.decision.actions import Action
from shelfhaven.decision.controller import Controller
from shelfhaven.decision.events import ServerStarted
from shelfhaven.simulation import wire
from shelfhaven.simulation.translation import event_from_record, record_from_action
from shelfhaven.simulation.wire import Record, WireError


class Adapter:
    """The controllers of this process, by instance number."""

    def __init__(self) -> None:
        self.controllers: dict[int, Controller] = {}

    def answer(self, frame: bytes) -> bytes:
        """Return the reply to a frame; an exception in a controller becomes an `Exception` record."""
        batch = wire.decode_batch(frame)
        reply: list[Record] = []
        for record in batch.events:
            reply += self._records_for(batch.now, record)
        return wire.encode_reply(batch.number, reply)

    def _records_for(self, now: float, record: Record) -> list[Record]:
        instance = record.integer("who")
        try:
            return [record_from_action(action, instance) for action in self._handle(now, instance, record)]
        except WireError:  # the input is invalid; the controller did not fail
            raise
        except Exception as error:  # noqa: BLE001 - reported to the simulator
            text = f"{type(error).__name__}: {error}"
            return [Record("Exception", {"who": instance, "text": text})]

    def _handle(self, now: float, instance: int, record: Record) -> list[Action]:
        if record.name == "Retire":
            self.controllers.pop(instance, None)
            return []
        if record.name == "Spawn":
            settings = config.parse_lines(record.text("options"))
            new_controller = Controller(settings, record.integer("rng-seed"))
            self.controllers[instance] = new_controller
            return new_controller.on_event(now, ServerStarted())
        controller = self.controllers.get(instance)
        return controller.on_event(now, event_from_record(record)) if controller else []


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Reply to each frame from `source` on `sink` until the input ends."""
    adapter = Adapter()
    while (frame := wire.read_frame(source)) is not None:
        sink.write(adapter.answer(frame))
        sink.flush()
