"""Starts the runs of requests on their runners."""

from __future__ import annotations

from shelfhaven.config import Config
from shelfhaven.decision.settings import RetrySafety
from shelfhaven.server import messages
from shelfhaven.server.actors import ConnectedActors
from shelfhaven.server.clocks import Clocks
from shelfhaven.server.idempotency_keys import IdempotencyKeys
from shelfhaven.server.request import Request


class RunLauncher:
    """Launches runs; callers launch each request at most once."""

    def __init__(
        self, config: Config, keys: IdempotencyKeys, actors: ConnectedActors, clocks: Clocks
    ) -> None:
        self.config = config
        self.keys = keys
        self.actors = actors
        self.clocks = clocks

    def launch(self, request: Request) -> None:
        """Send the launch command of a request to its runner."""
        request.launch()
        submission = request.submission
        command = messages.LaunchRun(
            submission.attempt_id,
            self.config.classes[submission.class_index],
            submission.body,
            request.time_left(self.clocks.wall()),
            request.class_settings.retry_safety is RetrySafety.IDEMPOTENT,
            submission.idempotency_key,
            submission.attributes,
            self.keys.reservation_digest(request),
        )
        self.actors.runner_of(request).put(command)
