"""Tenant quotas: the weight of requests over the quota, and which tenants are rejected first."""

from __future__ import annotations

import pytest

from shelfhaven.decision.settings import TenantSettings
from shelfhaven.decision.tenant_quota import TenantQuotas
from tests.decision.samples import overloaded, rejections, settings


def test_a_tenant_over_its_quota_is_rejected_before_the_others() -> None:
    tenants = (TenantSettings(2.0, 0.5), TenantSettings(2.0, 0.5))
    world = overloaded(0.6, tenants=tenants, over_quota_weight=0.05)
    rejected = rejections(world, [(0, 0)] * 9 + [(0, 1)])
    assert rejected[0, 0] > 50
    assert rejected[0, 1] == 0


def test_a_tenant_without_a_quota_is_never_over_it() -> None:
    tenants = (TenantSettings(0.0, 0.5), TenantSettings(2.0, 0.5))
    world = overloaded(0.6, tenants=tenants, over_quota_weight=0.05)
    rejected = rejections(world, [(0, 0)] + [(0, 1)] * 9)
    assert rejected[0, 0] == 0
    assert rejected[0, 1] > 50


def test_weight_falls_as_the_rate_exceeds_the_quota_of_one_server() -> None:
    quotas = TenantQuotas(settings(tenants=(TenantSettings(4.0),), replicas=2, over_quota_weight=0.25))
    within = quotas.record_arrival(100.0, 0)
    assert within == 1.0
    for _ in range(11):
        fraction = quotas.record_arrival(100.0, 0)  # twelve at once are 4/s against a quota of 2/s
    assert fraction == pytest.approx(0.5 + 0.25 * 0.5)
    assert quotas.record_arrival(130.0, 0) == 1.0, "the rate has decayed"


def test_an_unknown_tenant_has_the_full_weight() -> None:
    quotas = TenantQuotas(settings())
    assert [quotas.record_arrival(0.0, tenant) for tenant in (-1, 0, 99)] == [1.0, 1.0, 1.0]
