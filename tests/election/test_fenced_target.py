"""FencedTarget: lower tokens are rejected, and no request is sent without enough time on the lease."""

from __future__ import annotations

import pytest
from tornado.httpclient import HTTPClientError, HTTPRequest, HTTPResponse
from tornado.httputil import HTTPHeaders

from shelfhaven.election.fenced_target import FENCING_HEADER, FencedTarget, TargetError
from shelfhaven.election.lease import FencedOffError, LeaseUncertainError, Permit
from shelfhaven.lab.target_stub import Mode, TargetStub
from tests.election.helpers import run_with_timeout


def test_a_target_rejects_lower_tokens_and_reports_the_highest() -> None:
    async def check() -> None:
        service = TargetStub()
        await service.start()
        target = FencedTarget(service.url, 0.5)
        time_left = [10.0]

        def permit(token: int) -> Permit:
            return Permit("d", token, lambda: time_left[0])

        await target.send(permit(5), "PUT", "x", b"1", "x")
        with pytest.raises(FencedOffError) as rejection:
            await target.send(permit(4), "PUT", "y", b"1", "y")
        assert rejection.value.highest == 5
        time_left[0] = 0.0
        with pytest.raises(LeaseUncertainError):
            await target.send(permit(6), "PUT", "z", b"1", "z")
        time_left[0] = 10.0
        for mode in (Mode.FAIL, Mode.HANG):
            service.mode = mode
            with pytest.raises(TargetError):
                await target.send(permit(6), "PUT", "z", b"1", "z")
        assert [effect.key for effect in service.applied("d")] == ["x"]
        target_without_checks = FencedTarget(service.url, 0.5, checks_tokens=False)
        time_left[0] = 0.4
        with pytest.raises(LeaseUncertainError):  # the answer might come after the lease has expired
            await target_without_checks.send(permit(6), "PUT", "z", b"1", "z")
        target.close()
        target_without_checks.close()
        await service.stop()

    run_with_timeout(check)


@pytest.mark.parametrize("header", ["", "d", "d x", "d -1", "d " + 19 * "9", "d \u00b2"])
def test_a_rejection_without_a_valid_token_counts_as_a_rejection(
    header: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def check() -> None:
        target = FencedTarget("http://127.0.0.1:1", 0.5)

        async def reject(request: HTTPRequest) -> HTTPResponse:
            response = HTTPResponse(request, 412, HTTPHeaders({FENCING_HEADER: header}))
            raise HTTPClientError(412, response=response)

        monkeypatch.setattr(target.client, "fetch", reject)
        with pytest.raises(FencedOffError) as rejection:
            await target.send(Permit("d", 5, lambda: 10.0), "PUT", "x", b"1", "x")
        assert rejection.value.highest == 0
        target.close()

    run_with_timeout(check)
