"""Tests of the mapping of CGI variables to requests to the core."""

from __future__ import annotations

from dataclasses import replace

import pytest

from shelfhaven.routing.caller_numbers import hash_name
from shelfhaven.routing.path_pattern import PathPattern, Route
from shelfhaven.routing.request_mapping import (
    AttributeSource,
    MappedRequest,
    MappingError,
    MappingSettings,
    RequestMapping,
)

BALANCE, TOPUP = 0, 1

SETTINGS = MappingSettings(
    "vendors",
    (
        Route(TOPUP, PathPattern("/topup"), frozenset({"POST"})),
        Route(BALANCE, PathPattern("/balance/*"), frozenset({"GET", "HEAD"})),
        Route(BALANCE, PathPattern("/reports/**")),
    ),
    idempotent_classes=frozenset({TOPUP}),
    tenants=("retail", "bank"),
    tenant=AttributeSource("HTTP_X_TENANT", "retail"),
    caller=AttributeSource("HTTP_X_GATEWAY"),
    extra_variables=("HTTP_X_TENANT", "HTTP_X_TRACE"),
)


def map_request(method: str, path: str, size: int = 0, **extra_variables: str) -> MappedRequest:
    variables = {"REQUEST_METHOD": method, "PATH_INFO": path, **extra_variables}
    return RequestMapping(SETTINGS).map_request(0.0, variables, "10.0.0.1", size)


def test_a_request_is_mapped_with_all_its_attributes() -> None:
    mapped = map_request(
        "POST", "/topup", 2048, HTTP_IDEMPOTENCY_KEY="k", HTTP_X_TIME_LEFT_MS="1500", HTTP_X_RETRY="1",
        HTTP_X_RANK="0.25", HTTP_X_TENANT="bank", HTTP_X_GATEWAY="g1", HTTP_X_WORK_MS="12", HTTP_X_ROW="acct",
    )  # fmt: skip
    assert (mapped.class_index, mapped.tenant, mapped.idempotency_key, mapped.is_retry, mapped.priority) == (
        TOPUP,
        1,
        "k",
        True,
        0.25,
    )
    assert (mapped.budget, mapped.work_hint, mapped.footprint_kb) == (1.5, 0.012, 26.0)
    assert mapped.caller == hash_name("name g1")
    assert mapped.partition_key == hash_name("acct")
    assert mapped.identity_parts == ()
    assert mapped.extra_variables == (("HTTP_X_TENANT", "bank"),)


def test_missing_attributes_get_their_default_values() -> None:
    mapped = map_request("GET", "/balance/234")
    assert (mapped.tenant, mapped.idempotency_key, mapped.budget) == (0, "", 0.0)
    assert (mapped.is_retry, mapped.priority, mapped.partition_key) == (False, 0.0, 0)
    assert mapped.caller == hash_name("peer 10.0.0.1")
    assert mapped.legacy_identity_parts == ("234", "")
    assert mapped.identity_parts == (), "no part of a URL is part of the identity unless it is named"


def test_the_identity_is_made_of_the_named_variables_whatever_the_route() -> None:
    rules = replace(SETTINGS, identity_variables=("QUERY_STRING", "HTTP_X_ACCOUNT"))
    assert {"QUERY_STRING", "HTTP_X_ACCOUNT"} <= rules.variable_names()
    variables = {"REQUEST_METHOD": "GET", "PATH_INFO": "/balance/1", "QUERY_STRING": "a=1"}
    mapped = RequestMapping(rules).map_request(0.0, variables, "10.0.0.1", 0)
    assert mapped.identity_parts == ("a=1", "")


def test_a_key_is_ignored_for_a_class_without_keys_and_a_spent_budget_differs_from_an_unknown_one() -> None:
    mapped = map_request("GET", "/balance/1", HTTP_IDEMPOTENCY_KEY="k", HTTP_X_TIME_LEFT_MS="0")
    assert mapped.idempotency_key == ""
    assert mapped.budget > 0


@pytest.mark.parametrize(
    ("method", "path", "extra_variables", "status", "message"),
    [
        ("POST", "/topup", {}, 400, "HTTP_IDEMPOTENCY_KEY: missing"),
        ("GET", "/topup", {}, 405, "GET is not served"),
        ("GET", "/topup/1", {}, 404, "no route"),
        ("GET", "/balance", {}, 404, "no route"),
        ("GET", "/balance/", {}, 404, "no route"),
        ("GET", "balance/1", {}, 400, "PATH_INFO"),
        ("GET", "", {}, 400, "PATH_INFO"),
        ("GET", "/balance/../topup", {}, 400, "steps"),
        ("GET", "/" + "x" * 3000, {}, 400, "too long"),
        ("GET", "/balance/1", {"HTTP_X_TENANT": "nobody"}, 403, "HTTP_X_TENANT"),
        ("GET", "/balance/1", {"HTTP_X_RANK": "1"}, 400, "HTTP_X_RANK"),
        ("GET", "/balance/1", {"HTTP_X_RANK": "nan"}, 400, "HTTP_X_RANK"),
        ("GET", "/balance/1", {"HTTP_X_TIME_LEFT_MS": "-1"}, 400, "HTTP_X_TIME_LEFT_MS"),
        ("GET", "/balance/1", {"HTTP_X_TIME_LEFT_MS": "inf"}, 400, "HTTP_X_TIME_LEFT_MS"),
        ("GET", "/balance/1", {"HTTP_X_WORK_MS": "much"}, 400, "HTTP_X_WORK_MS: not a number"),
        ("POST", "/topup", {"HTTP_IDEMPOTENCY_KEY": "k" * 300}, 400, "over 256"),
    ],
)
def test_a_request_that_cannot_be_mapped_raises(
    method: str, path: str, extra_variables: dict[str, str], status: int, message: str
) -> None:
    with pytest.raises(MappingError, match=message) as raised:
        map_request(method, path, 0, **extra_variables)
    assert raised.value.status == status
