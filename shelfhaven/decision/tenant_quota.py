"""Tenant quotas: requests of a tenant over its quota earn only a part of their class's priority weight.

Quotas apply to the whole fleet.  Each server compares a tenant's arrivals with the quota divided by the
number of replicas.
"""

from __future__ import annotations

import math

from shelfhaven.decision.averages import RATE_WINDOW_S
from shelfhaven.decision.settings import Settings


class TenantQuotas:
    """The arrival rate and the quota of each tenant."""

    __slots__ = ("_last_arrivals", "_over_quota_weight", "_quotas_per_s", "_rates_per_s")

    def __init__(self, settings: Settings) -> None:
        replicas = settings.replicas or 1
        self._over_quota_weight = settings.over_quota_weight
        # a quota of 0 stands for no quota
        self._quotas_per_s = [tenant.quota_per_s / replicas or math.inf for tenant in settings.tenants]
        self._rates_per_s = [0.0] * len(self._quotas_per_s)
        self._last_arrivals = [0.0] * len(self._quotas_per_s)

    def record_arrival(self, now: float, tenant: int) -> float:
        """Record an arrival; return the mean fraction of their weight that the tenant's requests earn."""
        if not 0 <= tenant < len(self._quotas_per_s):
            return 1.0
        elapsed = now - self._last_arrivals[tenant]
        self._last_arrivals[tenant] = now
        decayed = self._rates_per_s[tenant] * math.exp(-elapsed / RATE_WINDOW_S)
        rate = decayed + 1 / RATE_WINDOW_S
        self._rates_per_s[tenant] = rate
        within_quota = min(1.0, self._quotas_per_s[tenant] / rate)
        return within_quota + self._over_quota_weight * (1 - within_quota)
