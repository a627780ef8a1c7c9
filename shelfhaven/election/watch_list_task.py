"""The singleton task that watches the list service for a zone, so that the other nodes need not poll it.

The task has no target and therefore no fencing: two nodes that watch the list at the same time do no harm.
"""

from __future__ import annotations

from shelfhaven.election.leader_tasks import LeaderTask, NodeServices
from shelfhaven.election.lease import LeaderLease, LeaseUncertainError, Permit

CHECK_INTERVAL = 5.0  # seconds between checks that this node watches the list


class WatchListTask(LeaderTask):
    """Watches the list service while this node is the leader."""

    def __init__(self, services: NodeServices) -> None:
        self.services = services

    async def run(self, lease: LeaderLease) -> None:
        """Watch the list until told to finish."""

        async def watch(_: Permit) -> None:
            """Start watching the list, or continue to."""
            self.services.watch_list(True)

        try:
            while True:
                try:
                    await lease.act(watch)
                except LeaseUncertainError:
                    continue
                if not await lease.continue_after(CHECK_INTERVAL):
                    return
        finally:
            self.services.watch_list(False)
