"""The data of the etcd stub: revisions, leases and history as in the etcd v3 API reference."""

from __future__ import annotations

from shelfhaven.lab.etcd_keyspace import EtcdKeyspace


def test_each_change_gets_a_revision_and_an_event() -> None:
    keyspace = EtcdKeyspace()
    keyspace.put("a", "1")
    keyspace.put("a", "2")
    keyspace.delete(b"a", b"b")
    keyspace.delete(b"b")
    assert keyspace.revision == 4, "deleting a missing key changes nothing"
    assert [event.kv.mod_revision for event in keyspace.events_since(3)] == [3, 4]
    assert keyspace.kvs == {}


def test_a_second_put_keeps_the_create_revision_and_increments_the_version() -> None:
    keyspace = EtcdKeyspace()
    keyspace.put("a", "1")
    keyspace.put("a", "2")
    kv = keyspace.kvs[b"a"]
    assert (kv.create_revision, kv.mod_revision, kv.version) == (2, 3, 2)


def test_an_expired_lease_removes_only_the_keys_still_bound_to_it() -> None:
    keyspace = EtcdKeyspace()
    lease = keyspace.grant(0, ttl=5, lifetime=0.0)
    keyspace.put("bound", "1", lease)
    keyspace.put("unbound", "1", lease)
    keyspace.put("unbound", "2")
    keyspace.expire_leases()
    assert set(keyspace.kvs) == {b"unbound"}
    assert keyspace.leases == {}


def test_a_range_excludes_its_end_and_without_an_end_is_a_single_key() -> None:
    keyspace = EtcdKeyspace()
    for name in ("b", "a", "c"):
        keyspace.put(name, "1")
    assert keyspace.names_in(b"a", b"c") == [b"a", b"b"]
    assert keyspace.names_in(b"a", b"") == [b"a"]


def test_a_restored_store_keeps_its_cluster_id_and_an_emptied_one_gets_another() -> None:
    keyspace = EtcdKeyspace()
    cluster = keyspace.cluster_id
    keyspace.put("a", "1")
    saved = keyspace.snapshot()
    keyspace.put("b", "1")
    keyspace.restore(saved)
    assert (keyspace.cluster_id, keyspace.revision, set(keyspace.kvs)) == (cluster, 2, {b"a"})
    assert keyspace.events_since(0) == [], "watches cannot continue after a restore"
    keyspace.replace_with_empty()
    assert (keyspace.cluster_id, keyspace.revision, keyspace.kvs) == (cluster + 1, 1, {})
