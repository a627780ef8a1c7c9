"""Leader leases: actions need a permit and are cancelled when leadership becomes uncertain."""

from __future__ import annotations

import asyncio

import pytest

from shelfhaven.election.lease import FencedOffError, LeaseLostError, LeaseUncertainError, Permit
from tests.election.helpers import (
    ControlledLease,
    run_with_timeout,
)


def test_uncertain_leadership_cancels_running_actions_and_delays_new_ones() -> None:
    async def check() -> None:
        controlled, started = ControlledLease(), asyncio.Event()

        async def action(permit: Permit) -> str:
            assert (permit.task, permit.fencing_token, permit.time_left()) == ("d", 3, 10.0)
            started.set()
            await asyncio.sleep(60)
            return "done"

        running_action = asyncio.ensure_future(controlled.lease.act(action))
        await started.wait()
        controlled.lease.suspend()
        controlled.lease.resume()  # an immediate confirmation does not save the running action
        with pytest.raises(LeaseUncertainError):
            await running_action
        controlled.lease.suspend()

        async def quick(_: Permit) -> str:
            return "done"

        waiting_action = asyncio.ensure_future(controlled.lease.act(quick))
        await asyncio.sleep(0.05)
        assert not waiting_action.done()
        controlled.lease.resume()
        assert await waiting_action == "done"
        controlled.time_to_act = 0.0  # the lease has run out, but `suspend` was not called
        waiting_action = asyncio.ensure_future(controlled.lease.act(quick))
        await asyncio.sleep(0.1)
        assert not waiting_action.done()
        controlled.lease.revoke()
        with pytest.raises(LeaseLostError):
            await waiting_action
        with pytest.raises(LeaseLostError):
            await controlled.lease.act(quick)

    run_with_timeout(check)


def test_an_action_waits_until_the_lease_lasts_long_enough() -> None:
    async def check() -> None:
        controlled = ControlledLease()
        controlled.time_to_act = 1.0

        async def quick(_: Permit) -> str:
            return "done"

        waiting_action = asyncio.ensure_future(controlled.lease.act(quick, min_time_to_act=2.0))
        await asyncio.sleep(0.1)
        assert not waiting_action.done()
        controlled.time_to_act = 5.0
        assert await waiting_action == "done"

    run_with_timeout(check)


def test_a_rejected_token_is_reported_to_the_elector() -> None:
    async def check() -> None:
        controlled = ControlledLease()

        async def rejected(_: Permit) -> None:
            raise FencedOffError(9)

        with pytest.raises(LeaseUncertainError):
            await controlled.lease.act(rejected)
        assert controlled.reported_tokens == [9]

    run_with_timeout(check)
