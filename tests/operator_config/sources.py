"""Valid operator's files for the tests; the functions return a file with `old` replaced by `new`."""

from __future__ import annotations

from pathlib import Path

VALID_FILE = """
node "n1" stop="3s"
work at-once=4 {
    class "balance" aim="500ms" deadline="1s" repeat="safe"
    class "topup" aim="2s" deadline="4s" worth=3 repeat="keyed" window="8s"
    tenant "retail" share=0.6
}
mapping "m" {
    route "topup" method="POST" path="/topup"
    route "balance" path="/balance/*"
}
listen "g" protocol="uwsgi" address="127.0.0.1:4101" mapping="m"
pool "p" {
    server "127.0.0.1:5101"
    server "unix:/run/vendor.sock"
    runs "topup"
    runs "balance" method="GET" path="/balance/any"
}
"""

MEMBERSHIP = """
membership zone="a" region="west" {
    listen "127.0.0.1:7100"
    secret "SECRET"
    peer "127.0.0.1:7101"
    list within="1s" {
        endpoint "127.0.0.1:2379"
    }
    asks 50
    expected 200
    hold "20s"
    keep file="/tmp/list" most-age="1h"
}
"""


def with_membership(tmp_path: Path, old: str = "", new: str = "") -> str:
    secret = tmp_path / "secret"
    secret.write_text("sixteen bytes and more")
    (tmp_path / "short").write_text("short")
    text = MEMBERSHIP.replace(old, new, 1) if old else MEMBERSHIP
    return VALID_FILE + text.replace("SECRET", str(secret)).replace("SHORT", str(tmp_path / "short"))


SINGLETON_TASKS = """
duties lease="8s" margin="1s" {
    agree engine="nodes" within="1s" {
        member "n" ask="127.0.0.1:7100" reach="127.0.0.1:7200"
        member "m" ask="127.0.0.1:7101" reach="127.0.0.1:7201" bind="127.0.0.1:7301"
        member "o" ask="127.0.0.1:7102" reach="127.0.0.1:7202"
        journal "/var/lib/shelfhaven/agreed"
    }
    duty "settle" kind="send" to="http://127.0.0.1:8800" file="/var/lib/day" lines=10 every="2s"
    duty "unclear" kind="reconcile" to="http://127.0.0.1:8800" fenced=false accept-unfenced="unclear"
    duty "list-a" kind="keep-list" zone="a"
}
"""


def with_singleton_tasks(tmp_path: Path, old: str = "", new: str = "") -> str:
    assert old in SINGLETON_TASKS + MEMBERSHIP
    text = with_membership(tmp_path) + SINGLETON_TASKS
    return text.replace(old, new, 1) if old else text


ZONES = """
zones {
    zone "a" region="west"
    zone "b" region="west" way="2ms"
    zone "c" region="east" way="30ms"
    gossip every="1s" fresh="30s"
    decide step=0.5 calm="20s"
    near full=0.8
    keys within="300ms" generation=2 {
        keeper "n" zone="a" at="127.0.0.1:7100"
        keeper "m" zone="b" at="127.0.0.1:7101"
        keeper "o" zone="c" at="127.0.0.1:7102"
        previous {
            keeper "n" zone="a" at="127.0.0.1:7100"
            keeper "m" zone="b" at="127.0.0.1:7101"
            keeper "p" zone="c" at="127.0.0.1:7103"
        }
    }
}
"""
FAILOVER_TASK = 'duty "zones" kind="decide-zones"'


def with_zones(tmp_path: Path, old: str = "", new: str = "") -> str:
    text = with_singleton_tasks(tmp_path, 'duty "settle"', f'{FAILOVER_TASK}\n    duty "settle"') + ZONES
    text = text.replace('server "127.0.0.1:5101"', 'server "127.0.0.1:5101" zone="b"')
    assert old in text
    return text.replace(old, new, 1) if old else text
