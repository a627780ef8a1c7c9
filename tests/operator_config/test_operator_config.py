"""The whole operator's file: the values in effect, and error messages with file, node and property."""

from __future__ import annotations

from pathlib import Path

import orjson
import pytest
from click.testing import CliRunner, Result

from shelfhaven import config, operator_config
from shelfhaven.__main__ import main
from shelfhaven.config import Address, ConfigError
from shelfhaven.decision.settings import RetrySafety
from tests.operator_config.sources import VALID_FILE
from tests.test_config import CONFIG

SHIPPED_FILE = Path(__file__).parents[2] / "deploy" / "operator.kdl"


def test_shipped_file_is_valid_and_its_values_are_in_effect() -> None:
    loaded = operator_config.load(SHIPPED_FILE)
    operator = loaded.operator
    assert loaded.config.classes == ("balance", "topup")
    topup = loaded.config.settings.classes[1]
    assert topup.latency_objective == 2.0
    assert topup.deadline == 4.0
    assert topup.priority_weight == 3.0
    assert topup.key_ttl == 8.0
    assert topup.retry_safety is RetrySafety.IDEMPOTENCY_KEY
    assert loaded.config.limits.memory_mb == 192
    assert [listen.protocol for listen in operator.listens] == ["uwsgi", "jsonrpc"]
    assert operator.listens[0].max_body_bytes == 16 * 1024
    assert len(operator.pools["backoffice"].servers) == 4
    assert operator.mappings["vendors"].idempotent_classes == {1}


def test_values_can_be_properties_or_child_nodes() -> None:
    for text in ('class "x" deadline="1s"', 'class "x" {\n deadline "1s"\n }'):
        changed = VALID_FILE.replace('class "balance" aim="500ms" deadline="1s" repeat="safe"', text)
        changed = changed.replace('"balance"', '"x"')
        balance = operator_config.parse(changed, "f").config.settings.classes[0]
        assert balance.deadline == 1.0
        assert balance.latency_objective == 1.0


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ('stop="3s"', "stop=3", 'f: node "n1" stop: 3.0 is not a duration with a unit'),
        ('stop="3s"', 'stop="0s"', 'f: node "n1" stop: .0s. is not greater than 0'),
        ('stop="3s"', 'sotp="3s"', 'f: node "n1" sotp: unknown node or property; did you mean "stop"'),
        ('node "n1"', "node", "f: node: the node's name is missing"),
        ('node "n1" stop="3s"', "", "f: node: missing"),
        ("at-once=4", "", "f: work at-once: missing"),
        ("at-once=4", "at-once=2.5", "f: work at-once: 2.5 is not an integer"),
        ("at-once=4", "at-once=0", "f: work at-once: 0 is not a number from 1"),
        ("at-once=4", 'at-once="4"', "f: work at-once: '4' is not a number"),
        ("at-once=4", 'at-once=4 memory="lots"', "f: work memory: 'lots' is not a size"),
        ("at-once=4", 'at-once=4 cold="yes"', "f: work cold: 'yes' is not true or false"),
        ('aim="500ms"', 'aim="2s"', 'f: work > class "balance" aim: is longer than the deadline'),
        ('aim="500ms"', 'aim="soon"', "aim: 'soon' is not a duration"),
        ('deadline="4s"', "", 'f: work > class "topup" deadline: missing'),
        ('repeat="safe"', 'repeat="sure"', "repeat: 'sure' is not one of safe, keyed, once"),
        ('window="8s"', "", 'f: work > class "topup" window: required if repeat is "keyed"'),
        (
            'repeat="safe"',
            'repeat="safe" window="1s"',
            'window: required if repeat is "keyed", not allowed otherwise',
        ),
        ('class "balance"', 'class "topup"', 'f: work class "topup": is given more than once'),
        ("share=0.6", "share=2", 'f: work > tenant "retail" share: 2 is not a number from 0 to 1'),
        (
            'route "topup" method',
            'route "topop" method',
            'route "topop": no class with this name; did you mean "topup"',
        ),
        ('path="/topup"', 'path="topup"', "path: 'topup' does not begin with /"),
        ('path="/balance/*"', 'path="/b*"', "path: \\* stands for a whole segment"),
        (
            'route "balance" path="/balance/*"',
            'route "balance" method="POST" path="/topup"',
            "unreachable: shadowed by the earlier route /topup",
        ),
        (
            'mapping "m" {',
            'mapping "first" {\n identity "QUERY_STRING"\n route "topup" path="/topup"\n}\nmapping "m" {',
            "f: mapping \"m\" identity: differs from that of the mapping 'first'",
        ),
        ('mapping="m"', 'mapping="n"', "f: listen \"g\" mapping: 'n' is not a mapping"),
        (
            'protocol="uwsgi"',
            'protocol="http"',
            "protocol: 'http' is not one of jsonrpc, uwsgi, extproc, subrequest",
        ),
        ('address="127.0.0.1:4101"', 'address="localhost:4101"', "address: not an address in numbers"),
        ('address="127.0.0.1:4101"', 'address="unix:run/x"', "not an absolute path"),
        ('address="127.0.0.1:4101"', 'address="127.0.0.1:99999"', "is not a port"),
        (
            'mapping="m"',
            'mapping="m" kept=true',
            'f: listen "g" kept: unknown node or property; did you mean "keep"',
        ),
        (
            'server "127.0.0.1:5101"',
            'server "unix:/run/vendor.sock"',
            'f: pool "p" server: an address is given more than once',
        ),
        ('server "127.0.0.1:5101"', "server", "not an address"),
        ('runs "topup"\n', "", 'f: work > class "topup": neither a pool nor a proxy runs this class'),
        ('runs "topup"\n', 'runs "topup"\nruns "topup"\n', 'runs "topup": is given more than once'),
        (
            'runs "topup"\n',
            'runs "topup"\nlimit first=99 most=9\n',
            "limit: first is not between least and most",
        ),
        ('runs "topup"\n', 'runs "topup"\neject part=1.5\n', 'f: pool "p" > eject part: 1.5 is not'),
        (
            'runs "topup"\n',
            'runs "topup"\nejekt part=0.5\n',
            'ejekt: unknown node or property; did you mean "eject"',
        ),
        ('runs "topup"\n', 'runs "topup" 5\n', "unexpected argument 5.0"),
        ('runs "topup"\n', 'runs "topup"\nrise "1s"\nrise "2s"\n', "rise: is given more than once"),
        ('mapping "m" {', 'mapping "m" {\n tenant default="nobody"\n', "'nobody' is not a configured tenant"),
        ('pool "p" {', 'pool "p" {\n "x', "f: 15:13 parse error"),
        ('listen "g"', 'lisetn "g"', 'f: lisetn: unknown node or property; did you mean "listen"'),
    ],
)
def test_errors_name_file_node_and_property(old: str, new: str, message: str) -> None:
    assert old in VALID_FILE
    with pytest.raises(ConfigError, match=message):
        operator_config.parse(VALID_FILE.replace(old, new, 1), "f")


def test_platform_configuration_takes_precedence() -> None:
    platform = config.parse_json(orjson.dumps(CONFIG))
    text = VALID_FILE.replace("balance", "look").replace("topup", "pay").replace('"retail"', '"other"')
    loaded = operator_config.parse(text, "f", platform)
    assert loaded.config is platform
    assert loaded.operator.mappings["m"].tenants == ("one",)
    origins = loaded.operator.origins
    assert any(origin.path.startswith("node") and "takes precedence" in origin.origin for origin in origins)
    with pytest.raises(ConfigError, match="no class with this name"):
        operator_config.parse(VALID_FILE, "f", platform)
    same_address = text.replace("127.0.0.1:4101", CONFIG["listen"])
    with pytest.raises(ConfigError, match="is used by more than one listener"):
        operator_config.parse(same_address, "f", platform)


def _check_config(*options: str) -> Result:
    return CliRunner().invoke(main, ["check-config", *options], env={"GW_CONFIG": ""})


def test_check_config_prints_values_in_effect_and_errors(tmp_path: Path) -> None:
    path = tmp_path / "operator.kdl"
    path.write_text(VALID_FILE)
    result = _check_config("--operator", str(path), "--explain")
    assert result.exit_code == 0
    assert f'work > class "topup" > window = 8s  ({path})' in result.output
    assert 'pool "p" > eject > slow = 4.0  (default)' in result.output
    path.write_text(VALID_FILE.replace("8s", "8"))
    result = _check_config("--operator", str(path))
    assert result.exit_code == 2
    assert f'{path}: work > class "topup" window' in result.output
    result = _check_config()
    assert result.exit_code == 2
    assert "neither" in result.output


def test_servers_have_tcp_or_unix_socket_addresses() -> None:
    operator = operator_config.parse(VALID_FILE, "f").operator
    addresses = [Address("127.0.0.1", 5101), Path("/run/vendor.sock")]
    assert list(operator.pools["p"].servers.values()) == addresses


def test_nodes_without_a_configured_seed_have_different_seeds() -> None:
    seeds = {operator_config.parse(VALID_FILE, "f").config.seed for _ in range(4)}
    assert len(seeds) == 4
    assert operator_config.parse(VALID_FILE.replace('stop="3s"', 'seed="1f"'), "f").config.seed == 0x1F
