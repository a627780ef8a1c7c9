"""The node `zones`: the values in effect, and error messages."""

from __future__ import annotations

from pathlib import Path

import pytest
from click.testing import CliRunner, Result

from shelfhaven import operator_config
from shelfhaven.__main__ import main
from shelfhaven.config import ConfigError
from tests.operator_config.sources import FAILOVER_TASK, VALID_FILE, ZONES, with_zones


def test_zones_are_read_with_servers_and_replicas(tmp_path: Path) -> None:
    operator = operator_config.parse(with_zones(tmp_path), "f").operator
    config = operator.zones
    assert config
    assert config.regions == {"a": "west", "b": "west", "c": "east"}
    assert config.locality.one_way_latency == {"b": 0.002, "c": 0.03}
    assert config.locality.spill_threshold == 0.8
    assert config.gossip.ping_interval == 1.0
    assert config.controller.step_size == 0.5
    assert config.controller.recovery_delay == 20.0
    assert operator.pools["p"].zones == {"127.0.0.1:5101": "b"}
    reservations = config.reservations
    assert reservations
    assert [sorted(replicas) for replicas in reservations.replica_sets] == [["m", "n", "o"], ["m", "n", "p"]]
    assert reservations.key_times == {"topup": (8.0, 4.0)}
    assert reservations.replica.max_duration == 12.0
    assert reservations.replica.generation == 2
    assert reservations.vote_timeout == 0.3
    assert any(origin.path == "zones > near > full" for origin in operator.origins)


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        (FAILOVER_TASK, "", "f: zones: no failover controller"),
        (
            FAILOVER_TASK,
            f'{FAILOVER_TASK}\n    duty "too" kind="decide-zones"',
            "zones: more than one duty controls failover: zones, too",
        ),
        (ZONES, "", 'duties > duty "zones": requires the node zones'),
        ('zone "b" region', 'zone "a" region', 'zones zone "a": is given more than once'),
        ("step=0.5", "step=0", "zones > decide step: 0 is not a number from 0.01 to 1"),
        ("step=0.5", "steps=0.5", 'zones > decide steps: unknown node or property; did you mean "step"'),
        ('calm="20s"', 'calm="1000s"', "zones > decide calm: longer than calm-most"),
        ('fresh="30s"', 'fresh="3s"', "zones > gossip fresh: 3 s is less than four times every"),
        ('keeper "o" zone="c"', 'keeper "o" zone="b"', "keys keeper: group 0 has 3 keepers in 2 zones"),
        ('keeper "o" zone="c" at="127.0.0.1:7102"', "", "keys keeper: group 0 has 2 keepers in 2 zones"),
        ('at="127.0.0.1:7102"', 'at="nowhere"', 'keys > keeper "o" at'),
        (
            'within="300ms"',
            'within="300ms" hold-most="5s"',
            "hold-most: less than 12 s, the longest window plus",
        ),
        ('repeat="keyed" window="8s"', 'repeat="once"', "zones > keys: no class uses idempotency keys"),
    ],
)
def test_errors_name_the_node_and_property(tmp_path: Path, old: str, new: str, message: str) -> None:
    with pytest.raises(ConfigError, match=message):
        operator_config.parse(with_zones(tmp_path, old, new), "f")


def test_zones_commands_report_what_is_missing(tmp_path: Path) -> None:
    path = tmp_path / "operator.kdl"
    path.write_text(with_zones(tmp_path))

    def run(*arguments: str) -> Result:
        return CliRunner().invoke(main, ["zones", *arguments, "--operator", str(path)], env={"GW_CONFIG": ""})

    assert run("show").exit_code == 3, "no member runs"
    path.write_text(VALID_FILE)
    result = run("drain", "a")
    assert result.exit_code == 2
    assert "there are no zones" in result.output
