"""Reads the node `listen`: a listening socket and its protocol.

A property that the listener's protocol does not use is an error.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field, replace
from enum import StrEnum
from pathlib import Path

from shelfhaven.config import Config
from shelfhaven.operator_config.reader import (
    ConfigNode,
    SocketAddress,
    boolean,
    choice,
    duration,
    existing_file,
    integer,
    positive_duration,
    request_path,
    size,
    socket_address,
    text,
)
from shelfhaven.protocol import uwsgi
from shelfhaven.routing.processor_policy import ConsultSettings
from shelfhaven.routing.request_mapping import MappingSettings

MAX_STREAMS_BOUND = 100_000  # upper bound of the settings `streams` and `connection-streams`


class ListenProtocol(StrEnum):
    """Protocols of listeners; the values are those of the operator's file."""

    JSON_RPC = "jsonrpc"
    UWSGI = "uwsgi"
    EXTERNAL_PROCESSING = "extproc"
    SUBREQUEST = "subrequest"

    @property
    def is_for_proxies(self) -> bool:
        """Whether the callers are proxies that ask for a verdict on each request and run it themselves."""
        return self in (ListenProtocol.EXTERNAL_PROCESSING, ListenProtocol.SUBREQUEST)


PROTOCOLS = {protocol.value: protocol for protocol in ListenProtocol}


@dataclass(frozen=True, slots=True)
class Tls:
    """TLS files of a listener; with `client_ca`, callers must present a certificate that this CA signed."""

    certificate: Path
    key: Path
    client_ca: Path | None = None


@dataclass(frozen=True, slots=True)
class Listen:
    """A listening socket in addition to the platform's; sizes are in bytes, times in seconds."""

    name: str
    protocol: ListenProtocol
    address: SocketAddress
    mapping: str = ""
    keep_alive: bool = False  # whether a connection may carry further requests after an answer
    max_connections: int = 0  # 0: limited only by file descriptors
    request_timeout: float = 1.5  # for receiving a whole request
    answer_timeout: float = 10.0  # for the caller to read an answer
    max_block_bytes: int = uwsgi.MAX_BLOCK_BYTES
    max_body_bytes: int = uwsgi.MAX_BODY_BYTES
    health_path: str = "/-/health"
    load_path: str = "/-/load"
    content_type: str = "application/json"  # of successful answers
    consult: ConsultSettings = field(default_factory=ConsultSettings)
    tls: Tls | None = None
    reject_status: int = 403  # HTTP status of a rejected subrequest; common proxies handle 401 and 403


def read_listen(node: ConfigNode, mappings: Mapping[str, MappingSettings], config: Config) -> Listen:
    """Read a node `listen`. Raises ConfigError."""
    name = node.take_name("listener's name")
    protocol = node.take("protocol", choice(PROTOCOLS), None)
    address = node.take("address", socket_address, None)
    if protocol is ListenProtocol.JSON_RPC:
        return Listen(name, protocol, address, max_connections=node.take("most", integer(), 0))
    mapping = node.take("mapping", text, None)
    if mapping not in mappings:
        raise node.error("mapping", f"{mapping!r} is not a mapping of this file")
    listen = Listen(name, protocol, address, mapping)
    listen = replace(listen, content_type=node.take("content-type", text, listen.content_type))
    if protocol is ListenProtocol.EXTERNAL_PROCESSING:
        return _with_external_processing(listen, node, config)
    if protocol is ListenProtocol.SUBREQUEST:
        return _with_subrequest(listen, node, config)
    return _with_uwsgi(listen, node)


def _with_external_processing(listen: Listen, node: ConfigNode, config: Config) -> Listen:
    consult = _read_consult(node, config)
    return replace(listen, consult=consult, tls=_read_tls(node))


def _with_subrequest(listen: Listen, node: ConfigNode, config: Config) -> Listen:
    return replace(
        listen,
        consult=_read_consult(node, config),
        health_path=node.take("health", request_path, listen.health_path),
        reject_status=node.take("refuse-status", integer(400, 599), listen.reject_status),
    )


def _with_uwsgi(listen: Listen, node: ConfigNode) -> Listen:
    return replace(
        listen,
        keep_alive=node.take("keep", boolean, listen.keep_alive),
        max_connections=node.take("most", integer(), listen.max_connections),
        request_timeout=node.take("within", positive_duration, listen.request_timeout),
        answer_timeout=node.take("unread", positive_duration, listen.answer_timeout),
        max_block_bytes=node.take("block-most", size, listen.max_block_bytes),
        max_body_bytes=node.take("body-most", size, listen.max_body_bytes),
        health_path=node.take("health", request_path, listen.health_path),
        load_path=node.take("load", request_path, listen.load_path),
    )


def _read_tls(node: ConfigNode) -> Tls | None:
    """Read the node `tls`; returns None if there is none."""
    tls = node.child("tls")
    if tls is None:
        return None
    has_client_ca = tls.raw_value("client-ca") is not None
    client_ca = tls.take("client-ca", existing_file, None) if has_client_ca else None
    certificate = tls.take("certificate", existing_file, None)
    key = tls.take("key", existing_file, None)
    return Tls(certificate, key, client_ca)


def _read_consult(node: ConfigNode, config: Config) -> ConsultSettings:
    """Read the settings for proxies that ask for a verdict on each request."""
    default = ConsultSettings()
    shadow_classes = _read_shadow_classes(node, config.classes)
    settings = ConsultSettings(
        verdict_timeout=node.take("verdict", positive_duration, default.verdict_timeout),
        verdict_margin=node.take("margin", duration, default.verdict_margin),
        lease=node.take("lease", positive_duration, default.lease),
        max_body_bytes=node.take("body-most", size, default.max_body_bytes),
        max_streams=node.take("streams", integer(1, MAX_STREAMS_BOUND), default.max_streams),
        max_connection_streams=node.take(
            "connection-streams", integer(1, MAX_STREAMS_BOUND), default.max_connection_streams
        ),
        max_buffered_bytes=node.take("bytes", size, default.max_buffered_bytes),
        fail_open=node.take("fail-open", boolean, default.fail_open),
        shadow_classes=shadow_classes,
    )
    if settings.verdict_margin >= settings.verdict_timeout:
        raise node.error("margin", "is not shorter than verdict")
    return settings


def _read_shadow_classes(node: ConfigNode, classes: Sequence[str]) -> frozenset[int]:
    """Read the node `shadow`, whose arguments are names of classes; returns their indexes."""
    shadow = node.child("shadow")
    if shadow is None:
        return frozenset()
    names = [text(raw) for raw in shadow.args]
    for name in names:
        if name not in classes:
            raise node.error("shadow", f"{name!r} is not a configured class")
    shadow.args = []  # marks them as read for `reject_unknown`
    return frozenset(classes.index(name) for name in names)
