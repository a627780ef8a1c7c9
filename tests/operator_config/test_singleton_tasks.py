"""The node `duties`: consensus store, elections and singleton tasks, and error messages."""

from __future__ import annotations

from pathlib import Path

import pytest
from click.testing import CliRunner, Result

from shelfhaven import operator_config
from shelfhaven.__main__ import main
from shelfhaven.config import Address, ConfigError
from tests.operator_config.sources import SINGLETON_TASKS, VALID_FILE, with_singleton_tasks


def test_duties_are_read_with_store_and_defaults(tmp_path: Path) -> None:
    config = operator_config.parse(with_singleton_tasks(tmp_path), "f").operator.singleton_tasks
    assert config
    assert list(config.store.members) == ["n", "m", "o"]
    assert config.store.members["m"].bind_address == Address("127.0.0.1", 7301)
    assert config.store.members["o"].bind_address == Address("127.0.0.1", 7202)
    elector = config.elector
    assert elector.lease_duration == 8.0
    assert elector.safety_margin == 1.0
    assert elector.store_requests_per_second == 50.0
    assert config.zone_by_task() == {"settle": "", "unclear": "", "list-a": "a"}
    send = config.tasks["settle"].send
    assert send
    assert send.batch_lines == 10
    assert send.resend is True
    target = config.tasks["unclear"].target
    assert target
    assert target.fenced is False


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ('member "o" ask="127.0.0.1:7102" reach="127.0.0.1:7202"', "", "f: duties > agree member: 2 members"),
        ('member "o"', 'member "n"', 'member "n": is given more than once'),
        ('journal "/var/lib/shelfhaven/agreed"', "", "journal: missing: a member that loses its votes"),
        ('engine="nodes"', 'engine="raft"', "engine: 'raft' is not one of etcd, nodes, alone"),
        ('engine="nodes" within="1s" {', 'engine="etcd" {', "endpoint: missing"),
        ('accept-unfenced="unclear"', 'accept-unfenced="settle"', 'accept-unfenced="unclear" accepts this'),
        (
            'kind="keep-list" zone="a"',
            'kind="keep-list"',
            "zone: missing: a duty of kind keep-list requires a zone",
        ),
        ('kind="send"', 'kind="sent"', "kind: 'sent' is not one of send, reconcile, keep-list"),
        ('to="http://127.0.0.1:8800" file', 'to="127.0.0.1:8800" file', "does not begin with http"),
        (' file="/var/lib/day"', "", "file: missing"),
        ('lease="8s" margin="1s"', 'lease="3s" margin="1s"', "3 s is less than 4 times the margin"),
        ('duty "settle"', 'duty "a/b"', "a duty's name must not contain /"),
        (
            'duty "settle" kind="send"',
            'duty "unclear" kind="send"',
            'duty "unclear": is given more than once',
        ),
        ("lines=10", "lines=10 line=5", 'line: unknown node or property; did you mean "lines"'),
        (
            'list within="1s" {\n        endpoint "127.0.0.1:2379"\n    }',
            "",
            'duty "list-a": requires a list service',
        ),
    ],
)
def test_errors_name_the_node_and_property(tmp_path: Path, old: str, new: str, message: str) -> None:
    with pytest.raises(ConfigError, match=message):
        operator_config.parse(with_singleton_tasks(tmp_path, old, new), "f")


def test_duties_require_a_membership_except_with_the_store_of_a_single_process() -> None:
    with pytest.raises(ConfigError, match="duties: requires the node membership"):
        operator_config.parse(VALID_FILE + SINGLETON_TASKS, "f")
    single_process = SINGLETON_TASKS[: SINGLETON_TASKS.index("agree")] + 'agree engine="alone"\n'
    single_process += 'duty "s" kind="send" to="http://x" file="y"\n}'
    operator = operator_config.parse(VALID_FILE + single_process, "f").operator
    assert operator.singleton_tasks
    assert operator.singleton_tasks.store.kind == "alone"


def test_command_line_lists_the_duties_for_an_unknown_name(tmp_path: Path) -> None:
    path = tmp_path / "operator.kdl"
    path.write_text(with_singleton_tasks(tmp_path))

    def run(*arguments: str) -> Result:
        return CliRunner().invoke(
            main, ["duties", *arguments, "--operator", str(path)], env={"GW_CONFIG": ""}
        )

    result = run("show", "other")
    assert result.exit_code == 2
    assert "there are: settle, unclear, list-a" in result.output
    assert run("list").exit_code == 3, "no member runs"
    path.write_text(VALID_FILE)
    assert run("list").exit_code == 2
