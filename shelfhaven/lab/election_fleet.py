"""Fleets of real processes that elect leaders: their operator's files, consensus store, target and checks.

The processes and sockets belong to `fleet.py`, `target_stub.py` and `etcd_stub.py`. A node is influenced
only through its operator's file, its gates and signals.
"""

from __future__ import annotations

import contextlib
import time
from collections.abc import AsyncIterator, Callable

from shelfhaven.lab import election_checker
from shelfhaven.lab.backend_stub import BackendStub
from shelfhaven.lab.etcd_stub import EtcdStub
from shelfhaven.lab.fleet import Fleet, FleetNode, fleet
from shelfhaven.lab.ports import reserved_port
from shelfhaven.lab.target_stub import TargetStub
from shelfhaven.lab.waiting import wait_until

LEASE_DURATION = 2.0  # seconds that a leader's lease lasts
CANDIDATE_DELAY = 0.15  # seconds
MEMBERS = 3  # of the quorum, if the nodes are the consensus store
LINES = 20_000  # of the file that the tasks send
DEFAULT_TIMEOUT = 45.0  # seconds within which a condition has to become true
CHECK_INTERVAL = 0.02  # seconds between two evaluations of a condition
# Membership settings with short intervals, for the operator's file.
FAST_MEMBERSHIP = """asks 60
    expected 6
    every "200ms"
    stale "2s"
    lease "3s"
    hold "3s"
    within "400ms"
    list-within "2s"
    proof-within "200ms"
    rise "1s"
"""
SEND_TASK = """duty "{name}" kind="send" {{
        to "{to}"
        file "{file}"
        every "{every}"
        lines 1
        within "1s"
        {more}
    }}"""


class ElectionFleet:
    """A fleet of processes with its consensus store, backend and target.

    `tasks` are the names of the tasks that send the file. `target_options` and `other_tasks` are text that is
    inserted into the operator's file. `store` is None if some of the nodes are the consensus store.
    """

    def __init__(
        self, store: EtcdStub | None, backend: BackendStub, target: TargetStub, processes: Fleet
    ) -> None:
        self.store = store
        self.backend = backend
        self.target = target
        self.fleet = processes
        self.member_ports = {f"n{number:03}": reserved_port() for number in range(MEMBERS)}
        self.tasks = ["settle"]
        self.send_interval = "50ms"
        self.target_options = ""
        self.other_tasks = ""
        self.election_settings = (
            f'lease="{LEASE_DURATION:g}s" margin="200ms" step="{CANDIDATE_DELAY:g}s" settle="60s" dead="2s"'
        )
        self.file_path = processes.folder / "lines"
        self.file_path.write_text("".join(f"line {number}\n" for number in range(LINES)))
        processes.values["singleton_tasks"] = self.duties_section

    # Operator's file

    def duties_section(self, node: FleetNode) -> str:
        """Return the `duties` section of a node's operator file."""
        tasks = [
            SEND_TASK.format(
                name=name,
                to=self.target.url,
                file=self.file_path,
                more=self.target_options,
                every=self.send_interval,
            )
            for name in self.tasks
        ]
        lines = [self._store_section(node), *tasks, self.other_tasks]
        return f"duties {self.election_settings} {{\n{chr(10).join(lines)}\n}}"

    def _store_section(self, node: FleetNode) -> str:
        if self.store:
            assert node.store_gate  # each node has its own, so that it can be cut off alone
            endpoint = f'endpoint "127.0.0.1:{node.store_gate.port}"'
            return f'agree engine="etcd" within="1s" {{ {endpoint}; }}'
        members = "\n".join(
            f'member "{name}" ask="127.0.0.1:{self.fleet.nodes[name].gate.port}" reach="127.0.0.1:{port}"'
            for name, port in self.member_ports.items()
        )
        return f'agree engine="nodes" within="1s" {{\n{members}\njournal "{self.fleet.journal(node)}"\n}}'

    # Inspection

    @property
    def nodes(self) -> list[FleetNode]:
        """All nodes, whether their processes run or not."""
        return list(self.fleet.nodes.values())

    def actions(self) -> list[election_checker.TargetAction]:
        """Return the requests that arrived at the target, as input for the checker."""
        return [
            election_checker.TargetAction(
                request.at,
                request.task,
                request.fencing_token,
                request.key,
                request.applied,
                request.repeated,
                request.body_changed,
            )
            for request in self.target.requests
        ]

    def leaderships(self) -> list[election_checker.Leadership]:
        """Return which nodes believed that they led a task, and when."""
        return election_checker.find_leaderships(self.fleet.whole_history())

    def leader(self, task: str = "settle") -> FleetNode | None:
        """Return the running node that leads a task according to its log, None if there is none.

        Of several, the one with the highest fencing token counts.
        """
        last_lines = {}
        for node in self.fleet.running():
            for line in node.events("duty"):
                if line["duty"] == task:
                    last_lines[node.name] = line
        leading = [(line["fence"], name) for name, line in last_lines.items() if line["state"] == "holding"]
        return self.fleet.nodes[max(leading)[1]] if leading else None

    async def wait_for_leader(
        self, task: str = "settle", other_than: FleetNode | None = None, timeout: float = DEFAULT_TIMEOUT
    ) -> FleetNode:
        """Wait until a node leads a task and the target has executed an action of it; return the node."""
        started_at = time.time()
        await soon(
            lambda: (node := self.leader(task))
            and node is not other_than
            and self.effects_since(started_at, task),
            timeout,
        )
        node = self.leader(task)
        assert node
        return node

    def tasks_led(self) -> list[str]:
        """Return the tasks that are led according to the last `load` event of each node."""
        return [task for tasks in self._tasks_led_by_node() for task in tasks]

    def max_tasks_led(self) -> int:
        """Return the largest number of tasks that a single node leads."""
        return max(map(len, self._tasks_led_by_node()))

    def _tasks_led_by_node(self) -> list[list[str]]:
        loads = [node.events("load") for node in self.fleet.running()]
        return [lines[-1]["duties"]["holding"] for lines in loads if lines]

    def effects_since(self, at: float, task: str = "settle") -> int:
        """Return how many actions of a task the target has executed since a Unix time."""
        return sum(request.at >= at for request in self.target.applied(task))

    def batches_in_order(self) -> bool:
        """Whether the batches of each task first arrived in the order of the file, with none left out."""
        for task in self.tasks:
            requests = [request for request in self.target.applied(task) if not request.repeated]
            first_lines = [int(request.key.rpartition("/")[2]) for request in requests]
            if first_lines != list(range(len(first_lines))):
                return False
        return True


async def soon(condition: Callable[[], object], timeout: float = DEFAULT_TIMEOUT) -> None:
    """Wait until a condition is true; raise TimeoutError if it is not within the timeout."""
    await wait_until(condition, timeout, CHECK_INTERVAL)


@contextlib.asynccontextmanager
async def election_fleet(
    engine: str,
    count: int = 5,
    tolerance: float = 0.0,
    check_history: bool = True,
    checks_tokens: bool = True,
) -> AsyncIterator[ElectionFleet]:
    """Start the store, the backend and the target, and prepare a fleet of `count` nodes.

    If `check_history` is set, the invariants are checked at the end; `tolerance` is the time in seconds for
    which two nodes may both believe that they lead a task.
    """
    store = EtcdStub(port_count=3) if engine == "etcd" else None
    backend = BackendStub("v", [], 16, 0.005)
    target = TargetStub(checks_tokens)
    if store:
        await store.start()
    await backend.start()
    await target.start()
    try:
        async with fleet(
            count, store.port if store else 0, [backend.address], more=FAST_MEMBERSHIP
        ) as processes:
            elections = ElectionFleet(store, backend, target, processes)
            yield elections
            if check_history:
                _check_invariants(processes, elections, tolerance)
    finally:
        backend.stop()
        await target.stop()
        if store:
            await store.stop()


def _check_invariants(processes: Fleet, elections: ElectionFleet, tolerance: float) -> None:
    history = processes.whole_history()
    breaches = election_checker.find_breaches(history, elections.actions(), tolerance)
    if breaches:
        raise AssertionError(f"{len(breaches)} breaches: {breaches[:5]}")
