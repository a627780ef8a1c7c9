"""Reads the KDL node `membership`: peers, the list service, and readiness."""

from __future__ import annotations

from pathlib import Path

from shelfhaven.config import Address, parse_address
from shelfhaven.membership.readiness import ReadinessSettings
from shelfhaven.membership.settings import ListServiceSettings, MemberSettings, MembershipConfig
from shelfhaven.membership.shrink_guard import ShrinkGuardSettings
from shelfhaven.operator_config.reader import (
    ConfigNode,
    choice,
    duration,
    existing_file,
    integer,
    number,
    positive_duration,
    text,
)

MIN_SECRET_BYTES = 16
LIST_SERVICE_KINDS = {"etcd": "etcd"}


def _address(raw: object) -> Address:
    return parse_address(text(raw))


def _read_addresses(parent: ConfigNode, name: str) -> list[str]:
    """Read the addresses that are the arguments of the child nodes with this name, in file order."""
    addresses = []
    for node in parent.children(name):
        address = str(node.args.pop(0)) if node.args else ""
        try:
            addresses.append(str(parse_address(address)))
        except ValueError as error:
            raise node.error("", str(error)) from None
        parent.record_origin(name, address, parent.file)
    return addresses


def read_endpoints(node: ConfigNode) -> tuple[str, ...]:
    """Read the addresses of a service in the order in which they are tried; at least one is required."""
    endpoints = _read_addresses(node, "endpoint")
    if not endpoints:
        raise node.error("endpoint", "missing")
    return tuple(endpoints)


def _read_list_service(node: ConfigNode) -> ListServiceSettings | None:
    list_node = node.child("list")
    if list_node is None:
        node.record_origin("list", "none", "default")
        return None
    kind = list_node.take("kind", choice(LIST_SERVICE_KINDS), "etcd")
    return ListServiceSettings(
        kind,
        read_endpoints(list_node),
        list_node.take("prefix", text, "/shelfhaven/"),
        list_node.take("within", positive_duration, 2.0),
    )


def _read_secret(node: ConfigNode) -> bytes:
    path = node.take("secret", existing_file, None)
    secret = path.read_bytes().strip()
    if len(secret) < MIN_SECRET_BYTES:
        raise node.error("secret", f"the file has fewer than {MIN_SECRET_BYTES} bytes")
    return secret


def _read_peers(node: ConfigNode) -> tuple[str, ...]:
    """Read the addresses of peers in file order, without duplicates."""
    return tuple(dict.fromkeys(_read_addresses(node, "peer")))


def _read_member(node: ConfigNode) -> MemberSettings:
    default = MemberSettings()
    return MemberSettings(
        max_requests_per_s=node.take("asks", number(0.1), default.max_requests_per_s),
        expected_nodes=node.take("expected", integer(1, 100_000), default.expected_nodes),
        watcher_count=node.take("watchers", integer(1, 1000), default.watcher_count),
        poll_interval=node.take("every", positive_duration, default.poll_interval),
        stale_after=node.take("stale", positive_duration, default.stale_after),
        min_lease=node.take("lease", positive_duration, default.min_lease),
        shrink_guard=ShrinkGuardSettings(
            node.take("shrink", number(0, 1), default.shrink_guard.max_shrink_fraction),
            node.take("hold", duration, default.shrink_guard.retention_time),
        ),
    )


def _read_readiness(node: ConfigNode) -> ReadinessSettings:
    default = ReadinessSettings()
    return ReadinessSettings(
        node.take("list-within", duration, default.list_timeout),
        node.take("proof-within", duration, default.first_answer_timeout),
        node.take("rise", duration, default.warm_up),
    )


def read_membership(root: ConfigNode) -> MembershipConfig | None:
    """Read the node `membership`; returns None if there is none."""
    node = root.child("membership")
    if node is None:
        return None
    cache_node = node.child("keep")
    service = _read_list_service(node)
    peers = _read_peers(node)
    listen = node.take("listen", _address, None)
    if service is None and not peers:
        raise node.error(
            "", "neither a list service nor a peer is configured: the node could not find other nodes"
        )
    return MembershipConfig(
        zone=node.take("zone", text, "default"),
        region=node.take("region", text, "default"),
        listen=listen,
        advertise=node.take("advertise", _address, listen),
        secret=_read_secret(node),
        peers=peers,
        service=service,
        member=_read_member(node),
        readiness=_read_readiness(node),
        peer_timeout=node.take("within", positive_duration, 1.0),
        cache_file=Path(cache_node.take("file", text, None)) if cache_node else None,
        max_cache_age=cache_node.take("most-age", positive_duration, 86400.0) if cache_node else 0.0,
    )
