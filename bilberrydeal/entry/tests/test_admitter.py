import asyncio

import attrs
import pytest

from bilberrydeal import configuration
from bilberrydeal import errors
from bilberrydeal import keys
from bilberrydeal import link
from bilberrydeal import systems
from bilberrydeal.entry.core import _admitter
from bilberrydeal.entry.core import _bodies
from bilberrydeal.entry.core import _callers
from bilberrydeal.entry.core import _demand
from bilberrydeal.entry.tests import fakes

PEPPER = b"pepper"
SECRET = "bdk_secret"
CURRENT = configuration.Configuration(
    organisations={"russo": configuration.Organisation("russo")},
    keys={
        keys.hash_key(SECRET, PEPPER): configuration.KeyRecord(
            "k1", "russo", keys.hash_key(SECRET, PEPPER)
        )
    },
    models={"m": configuration.Model("m", "m")},
)
CHAT = _callers.CallerRequest(
    method="POST",
    path=_callers.CHAT_PATH,
    target=_callers.CHAT_PATH,
    headers={"authorization": f"Bearer {SECRET}"},
    body=b"",
    received_at_s=0.0,
)
GENERATION = _bodies.decode_completion(b'{"model": "m", "prompt": "ciao"}')


@attrs.define
class _FakeFreshness:
    fresh: bool = True

    def require_fresh(self, now_s: float) -> None:
        if not self.fresh:
            raise errors.Refusal(
                reason=errors.ErrorCode.KEYS_STALE, message="", status=503
            )


def _admitter_of(
    fresh: bool = True, limits: systems.OrganisationView | None = None
) -> _admitter.RequestAdmitter:
    tables = systems.Tables()
    if limits is not None:
        tables.of(systems.OrganisationView).put(limits)
    return _admitter.RequestAdmitter(
        lambda: link.RequestNumber("entry", 1),
        fakes.entry_settings(),
        lambda: CURRENT,
        keys.KeyDirectory(lambda: CURRENT, PEPPER),
        _FakeFreshness(fresh),
        fakes.policies(),
        tables,
        _demand.DemandMeter(0.0),
    )


def _admit(
    admitter: _admitter.RequestAdmitter, model: str = "m"
) -> _admitter.Admission:
    route = admitter.find_route(CHAT)
    key = admitter.authenticate(CHAT, route, 0.0)
    generation = attrs.evolve(GENERATION, model=model)
    return admitter.admit_generation(CHAT, route, key, generation, 0.0)


async def test_request_has_the_organisation_but_never_the_key() -> None:
    request = _admit(_admitter_of()).request
    assert request.organisation == "russo"
    assert SECRET not in repr(request)
    assert SECRET not in repr(request.submit_message(0.0))


async def test_stale_keys_are_refused() -> None:
    with pytest.raises(errors.Refusal) as caught:
        _admit(_admitter_of(fresh=False))
    assert caught.value.reason is errors.ErrorCode.KEYS_STALE


async def test_unknown_model_is_refused() -> None:
    with pytest.raises(errors.Refusal) as caught:
        _admit(_admitter_of(), model="other")
    assert caught.value.status == 404


async def test_limit_is_enforced_with_a_retry_delay() -> None:
    admitter = _admitter_of(
        limits=systems.OrganisationView("russo", concurrency=1)
    )
    first = _admit(admitter)
    with pytest.raises(errors.Refusal) as caught:
        _admit(admitter)
    assert caught.value.status == 429
    assert caught.value.retry_after_s
    admitter.release(first, 0.0, None, 1.0)
    _admit(admitter)


async def test_shed_requests_do_not_use_up_the_limit() -> None:
    admitter = _admitter_of(
        limits=systems.OrganisationView("russo", concurrency=3)
    )
    admission = [_admit(admitter), _admit(admitter)]
    for _ in range(3):
        with pytest.raises(errors.Refusal) as caught:
            _admit(admitter)
        assert caught.value.reason is errors.ErrorCode.OVERLOADED
    admitter.release(admission[0], 0.0, None, 1.0)
    _admit(admitter)


async def test_nothing_is_admitted_during_shutdown() -> None:
    admitter = _admitter_of()
    admitter.closing = True
    with pytest.raises(errors.Refusal) as caught:
        admitter.find_route(CHAT)
    assert caught.value.reason is errors.ErrorCode.SHUTTING_DOWN


async def test_withdrawn_key_cancels_only_its_own_generations() -> None:
    admitter = _admitter_of()
    started = asyncio.Event()

    async def serve() -> _admitter.Admission:
        admission = _admit(admitter)
        started.set()
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            assert admission.revoked
        return admission

    task = asyncio.create_task(serve())
    await started.wait()
    admitter.revoke_keys({"another"})
    await asyncio.sleep(0)
    assert not task.done()
    admitter.revoke_keys({"k1"})
    assert (await task).revoked


def test_demand_is_scaled_by_the_shares_of_answers() -> None:
    meter = _demand.DemandMeter(0.0)
    for _ in range(2_000):
        meter.answered("m", 25, 75, 10, 40)
    meter.offered("m", 1_000, 400)
    (demand,) = meter.report(10.0)
    assert demand.prompt_tokens_per_s == pytest.approx(25.0, rel=0.01)
    assert demand.output_tokens_per_s == pytest.approx(10.0, rel=0.01)
    (after,) = meter.report(20.0)
    assert after.requests_per_s == 0.0
