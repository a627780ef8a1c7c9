"""Model checker for leader election by lease: clock drift, suspended nodes, delayed messages and fencing.

The model consists of two nodes, one singleton task, the consensus store and a target that checks fencing
tokens. It can contain one of several deliberate mistakes, which the search has to find. It shares no code
with the elector that it models (`election/elector.py`).

Time is discrete; a lease lasts `LEASE_TICKS` ticks of the store's clock. One node's clock may lose one tick
in each term of leadership. A message may arrive at any later time, in any order, or never; a node may be
suspended at any time. The search is breadth-first, so that it finds a shortest trace to a breach.

Invariants of every state:

- *single leader*: a node that is not suspended and believes that it leads is the leader recorded in the
  store, with the same fencing token;
- *token order*: the target executes no action with a lower fencing token after one with a higher token.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Literal, NamedTuple, TypeAlias

LEASE_TICKS = 3
MARGIN_TICKS = 1  # safety margin: the ticks that a node's clock may lose
TOKENS = 2  # number of terms of leadership, each with its own fencing token
SLOW_NODE = 0  # the node whose clock may lose a tick
# Messages in flight at a time, of which one action per node: more add states without new behaviour.
MESSAGES_MAX = 2
NO_LEADER = -1
NOT_WAITING = -1
STATES_MAX = 2_000_000


class Mistake(Enum):
    """A mistake in the algorithm that the search has to find; `main` prints the values."""

    LEASE_FROM_ANSWER = "the lease duration counts from the answer instead of the request"
    NO_MARGIN = "no safety margin for clock drift"
    CLOCK_STOPS_IF_SUSPENDED = "the clock stops while the process is suspended"
    NO_FENCING = "the target does not check fencing tokens"
    RELEASE_WITHOUT_TOKEN = "a release does not contain the fencing token"
    LOST_LEASE_RENEWED = "the renewal of a lost lease succeeds"
    LATE_ANSWER_ACCEPTED = "the answer to an abandoned request is taken for that to a later one"


# Strings instead of an enum for speed: millions of messages are compared and hashed.
MessageKind: TypeAlias = Literal[
    "acquire",
    "acquired",  # the answer to "acquire"
    "renew",
    "renewed",  # the answer to "renew"
    "abandoned acquire",  # an "acquire" whose sender no longer waits; it may still take effect
    "release",
    "action",
]


class Message(NamedTuple):
    """One message from or to a node."""

    kind: MessageKind
    node: int
    token: int

    def __str__(self) -> str:
        return f"{self.kind} of node {self.node} with token {self.token}"


class Node(NamedTuple):
    """The state of one node, with times by its own clock."""

    token: int = 0  # of the term that it leads, 0 if it does not lead
    lease_age: int = 0  # ticks since it requested the lease
    waiting: int = NOT_WAITING  # ticks since it sent the unanswered request
    lost_tick: bool = False  # whether its clock has lost a tick in this term
    suspended: bool = False


class World(NamedTuple):
    """A state of the model: the store, the target, both nodes, and the messages in flight."""

    leader: int = NO_LEADER  # recorded in the store
    token: int = 0  # highest token that the store has assigned
    lease_left: int = 0  # ticks of the store's clock
    target_token: int = 0  # highest token that the target has seen
    nodes: tuple[Node, Node] = (Node(), Node())
    messages: tuple[Message, ...] = ()

    def with_node(self, number: int, node: Node) -> World:
        """Return the world with one node replaced."""
        nodes = (node, self.nodes[1]) if number == 0 else (self.nodes[0], node)
        return World(self.leader, self.token, self.lease_left, self.target_token, nodes, self.messages)

    def with_messages(self, messages: tuple[Message, ...], *sent: Message) -> World:
        """Return the world with these messages in flight, sorted so that equal states compare equal."""
        in_order = tuple(sorted((*messages, *sent)))
        return World(self.leader, self.token, self.lease_left, self.target_token, self.nodes, in_order)


class Step(NamedTuple):
    """A step, the state after it, and the invariant that the step itself breaches, "" for none."""

    name: str
    world: World
    breach: str = ""


class Origin(NamedTuple):
    """The state and the step from which another state was first reached."""

    world: World
    step: str


INITIAL_WORLD = World()


@dataclass(frozen=True, slots=True)
class Exploration:
    """The result of a search: visited states, duration, and a shortest trace to a breach, empty if none."""

    states: int
    seconds: float
    breach: str = ""
    trace: tuple[str, ...] = ()


def believes_it_leads(node: Node, mistake: Mistake | None) -> bool:
    """Whether a node believes, by its own clock, that it leads."""
    margin = 0 if mistake is Mistake.NO_MARGIN else MARGIN_TICKS
    return node.token > 0 and node.lease_age < LEASE_TICKS - margin


def find_breach(world: World, mistake: Mistake | None) -> str:
    """Return the invariant that a state breaches, "" for none."""
    for number, node in enumerate(world.nodes):
        leads = world.leader == number and world.token == node.token
        if not node.suspended and believes_it_leads(node, mistake) and not leads:
            return "single leader"
    return ""


def steps(world: World, mistake: Mistake | None) -> Iterator[Step]:
    """Yield all steps that are possible in a state."""
    yield from _ticks(world, mistake)
    for number, node in enumerate(world.nodes):
        if node.suspended or node.token or node.waiting >= 0:
            toggled = Node(*node[:4], not node.suspended)
            verb = "resumes" if node.suspended else "is suspended"
            yield Step(f"node {number} {verb}", world.with_node(number, toggled))
        if not node.suspended:
            yield from _node_steps(world, number, mistake)
    for index, message in enumerate(world.messages):
        remaining = world.messages[:index] + world.messages[index + 1 :]
        without_message = World(*world[:5], remaining)
        yield Step(f"lost: {message}", without_message)
        yield from _arrivals(without_message, message, mistake)


def _ticks(world: World, mistake: Mistake | None) -> Iterator[Step]:
    lease_left = max(0, world.lease_left - 1)
    leader = world.leader if lease_left else NO_LEADER
    first_options, second_options = (
        _node_after_tick(number, node, mistake) for number, node in enumerate(world.nodes)
    )
    for first in first_options:
        for second in second_options:
            nodes = (first, second)
            yield Step(
                "tick", World(leader, world.token, lease_left, world.target_token, nodes, world.messages)
            )


def _node_after_tick(number: int, node: Node, mistake: Mistake | None) -> list[Node]:
    """Return the possible states of a node after a tick, which its clock may lose."""
    if node.suspended and mistake is Mistake.CLOCK_STOPS_IF_SUSPENDED:
        return [node]
    lease_age = min(LEASE_TICKS, node.lease_age + 1) if node.token else 0
    waiting = min(LEASE_TICKS, node.waiting + 1) if node.waiting >= 0 else NOT_WAITING
    options = [Node(node.token, lease_age, waiting, node.lost_tick, node.suspended)]
    if number == SLOW_NODE and not node.lost_tick and (node.token or node.waiting >= 0):
        options.append(node._replace(lost_tick=True))
    return options


def _node_steps(world: World, number: int, mistake: Mistake | None) -> Iterator[Step]:
    node = world.nodes[number]
    messages = world.messages
    if node.waiting < 0 and not node.token and world.token < TOKENS:
        acquire = Message("acquire", number, 0)
        acquiring = world.with_node(number, Node(waiting=0))
        yield Step(f"node {number} sends acquire", acquiring.with_messages(messages, acquire))
    if node.waiting < 0 and node.token:
        renew = Message("renew", number, node.token)
        renewing = world.with_node(number, node._replace(waiting=0))
        yield Step(f"node {number} sends renew", renewing.with_messages(messages, renew))
    abandoned = _abandoned(messages, number, mistake)
    if node.waiting > 0:
        not_waiting = world.with_node(number, node._replace(waiting=NOT_WAITING))
        yield Step(f"node {number} abandons its request", not_waiting.with_messages(abandoned))
    if believes_it_leads(node, mistake):
        yield from _leader_steps(world, number, abandoned)
    elif node.token:
        yield Step(f"node {number} steps down", world.with_node(number, Node()).with_messages(abandoned))


def _leader_steps(world: World, number: int, abandoned: tuple[Message, ...]) -> Iterator[Step]:
    token = world.nodes[number].token
    messages = world.messages
    if not any(message.kind == "action" and message.node == number for message in messages):
        action = Message("action", number, token)
        yield Step(f"node {number} acts", world.with_messages(messages, action))
    release = Message("release", number, token)
    yield Step(f"node {number} releases", world.with_node(number, Node()).with_messages(abandoned, release))


def _abandoned(messages: tuple[Message, ...], number: int, mistake: Mistake | None) -> tuple[Message, ...]:
    """Return the messages in flight after a node has abandoned its request, whose answer it will ignore."""
    if mistake is Mistake.LATE_ANSWER_ACCEPTED:
        return messages
    request_kinds = ("acquire", "renew", "acquired", "renewed")
    remaining = []
    for message in messages:
        if message.node != number or message.kind not in request_kinds:
            remaining.append(message)
        elif message.kind == "acquire":
            remaining.append(message._replace(kind="abandoned acquire"))
    return tuple(remaining)


def _arrivals(world: World, message: Message, mistake: Mistake | None) -> Iterator[Step]:
    name = f"arrives: {message}"
    match message.kind:
        case "acquire" | "abandoned acquire":
            yield from _acquire_arrives(name, world, message)
        case "renew":
            yield from _renew_arrives(name, world, message, mistake)
        case "release":
            is_current_term = world.leader == message.node and world.token == message.token
            if is_current_term or (mistake is Mistake.RELEASE_WITHOUT_TOKEN and world.leader >= 0):
                yield Step(name, world._replace(leader=NO_LEADER, lease_left=0))
        case "action":
            is_late = message.token < world.target_token
            if not is_late or mistake is Mistake.NO_FENCING:
                highest = max(world.target_token, message.token)
                yield Step(name, world._replace(target_token=highest), "token order" if is_late else "")
        case "acquired" | "renewed":
            yield from _answer_arrives(name, world, message, mistake)


def _acquire_arrives(name: str, world: World, message: Message) -> Iterator[Step]:
    if world.leader >= 0 or world.token >= TOKENS:
        return
    token = world.token + 1
    acquired = world._replace(leader=message.node, token=token, lease_left=LEASE_TICKS)
    if message.kind == "acquire":
        answer = Message("acquired", message.node, token)
        yield Step(name, acquired.with_messages(world.messages, answer))
    else:
        yield Step(name, acquired.with_messages(world.messages))


def _renew_arrives(name: str, world: World, message: Message, mistake: Mistake | None) -> Iterator[Step]:
    answer = Message("renewed", message.node, message.token)
    if world.leader == message.node and world.token == message.token:
        renewed = world._replace(lease_left=LEASE_TICKS)
        yield Step(name, renewed.with_messages(world.messages, answer))
    elif mistake is Mistake.LOST_LEASE_RENEWED:
        yield Step(name, world.with_messages(world.messages, answer))


def _answer_arrives(name: str, world: World, message: Message, mistake: Mistake | None) -> Iterator[Step]:
    node = world.nodes[message.node]
    acquired = message.kind == "acquired"
    expected = not node.token if acquired else node.token == message.token
    if node.suspended or node.waiting < 0 or not expected:
        return
    # The lease duration counts from when the request was sent.
    lease_age = 0 if mistake is Mistake.LEASE_FROM_ANSWER else node.waiting
    leading = Node(message.token, lease_age, NOT_WAITING, node.lost_tick)
    yield Step(name, world.with_node(message.node, leading))


def explore(mistake: Mistake | None = None, states_max: int = STATES_MAX) -> Exploration:
    """Visit every reachable state, or all up to the first breach.

    Raises RuntimeError if there are more than `states_max` states.
    """
    started_at = time.monotonic()
    reached_by: dict[World, Origin | None] = {INITIAL_WORLD: None}
    queue = deque([INITIAL_WORLD])
    while queue:
        world = queue.popleft()
        for step in steps(world, mistake):
            after = step.world
            if len(after.messages) > MESSAGES_MAX or (after in reached_by and not step.breach):
                continue
            breach = step.breach or find_breach(after, mistake)
            if breach:
                trace = (step.name, *_trace_back(reached_by, world))
                return Exploration(len(reached_by), time.monotonic() - started_at, breach, trace[::-1])
            reached_by[after] = Origin(world, step.name)
            queue.append(after)
            if len(reached_by) > states_max:
                raise RuntimeError(f"more than {states_max} states")
    return Exploration(len(reached_by), time.monotonic() - started_at)


def _trace_back(reached_by: dict[World, Origin | None], world: World) -> Iterator[str]:
    while (origin := reached_by[world]) is not None:
        world, name = origin
        yield name


def main() -> None:
    """Print the result of the search without a mistake, and with each of them."""
    for mistake in (None, *Mistake):
        result = explore(mistake)
        description = mistake.value if mistake else "without a mistake"
        outcome = f"breach: {result.breach} after {len(result.trace)} steps" if result.breach else "no breach"
        print(f"{description}: {result.states} states in {result.seconds:.1f} s, {outcome}")


if __name__ == "__main__":
    main()
