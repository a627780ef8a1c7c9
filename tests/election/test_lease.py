"""Leader leases: nothing is done without a permit, nor goes on in uncertainty."""

from __future__ import annotations

import asyncio

import pytest

from shelfhaven.election.lease import FencedOffError, LeaseLostError, LeaseUncertainError, Permit
from tests.election.helpers import (
    ControlledLease,
    run_with_timeout,
)


def test_nothing_is_done_in_uncertainty_and_what_is_on_its_way_is_cancelled() -> None:
    async def check() -> None:
        held, began = ControlledLease(), asyncio.Event()

        async def action(granted: Permit) -> str:
            assert (granted.task, granted.fencing_token, granted.time_left()) == ("d", 3, 10.0)
            began.set()
            await asyncio.sleep(60)
            return "done"

        acting = asyncio.ensure_future(held.lease.act(action))
        await began.wait()
        held.lease.suspend()
        held.lease.resume()  # even if it is clear again at once
        with pytest.raises(LeaseUncertainError):
            await acting
        held.lease.suspend()

        async def quick(_: Permit) -> str:
            return "done"

        waiting = asyncio.ensure_future(held.lease.act(quick))
        await asyncio.sleep(0.05)
        assert not waiting.done()
        held.lease.resume()
        assert await waiting == "done"
        held.time_to_act = 0.0  # no timer has come yet: the clock says it
        waiting = asyncio.ensure_future(held.lease.act(quick))
        await asyncio.sleep(0.1)
        assert not waiting.done()
        held.lease.revoke()
        with pytest.raises(LeaseLostError):
            await waiting
        with pytest.raises(LeaseLostError):
            await held.lease.act(quick)

    run_with_timeout(check)


def test_an_action_that_needs_time_waits_for_a_lease_that_has_it() -> None:
    async def check() -> None:
        held = ControlledLease()
        held.time_to_act = 1.0

        async def quick(_: Permit) -> str:
            return "done"

        waiting = asyncio.ensure_future(held.lease.act(quick, min_time_to_act=2.0))
        await asyncio.sleep(0.1)
        assert not waiting.done()
        held.time_to_act = 5.0
        assert await waiting == "done"

    run_with_timeout(check)


def test_a_higher_token_seen_is_told_to_the_elector() -> None:
    async def check() -> None:
        held = ControlledLease()

        async def refused(_: Permit) -> None:
            raise FencedOffError(9)

        with pytest.raises(LeaseUncertainError):
            await held.lease.act(refused)
        assert held.reported_tokens == [9]

    run_with_timeout(check)
