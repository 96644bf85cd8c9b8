"""Which sends of a request are charged to the retry budget."""

import attrs
import pytest

from ... import http1
from ...systems import health
from ...systems import placement
from ...systems import retries
from ..cluster_state import _cluster_state
from ..core import _requests
from ..sending import _retry_policy
from . import configurations

#: Two extra sends are allowed.
LIMITS = retries.WindowLimits(10.0, 0.0, 2.9)
PROMPT = placement.Prompt((placement.PromptPart(b"a", 6_000),), 10)


@attrs.define
class _Fixture:
    """A policy, and one request."""

    budget: retries.WindowBudget
    policy: _retry_policy.RetryPolicy
    admitted: _requests.AdmittedRequest
    progress: _requests.RequestProgress = attrs.field(
        factory=_requests.RequestProgress
    )

    def play(self, sends: str) -> None:
        """Play failed (p) and successful (P) prefills and runs (r)."""
        for send in sends:
            self.policy.record_send(self.admitted, self.progress, send in "pP")
            if send == "P":
                self.policy.record_prefill(self.progress)

    def retry(self) -> bool:
        """Ask for a retry."""
        return self.policy.allows_retry(self.admitted, self.progress, "lost")

    def used(self) -> tuple[int, int]:
        """Return the extra sends made and reserved."""
        use = self.budget.use("llm", 1, 0.0)
        return use.sent, use.reserved


def _fixture(
    prompt: placement.Prompt | None = PROMPT,
    budget: retries.WindowBudget | None = None,
) -> _Fixture:
    cluster = _cluster_state.ClusterState(health.HEALTH.get("outlier")(1))
    request = http1.Request(b"POST", b"/chat/1", (), b"b", True, 0.0, 0.0)
    admitted = _requests.AdmittedRequest(
        request=request,
        request_id=b"r1",
        route=next(r for r in configurations.ROUTES if r.name == "chat"),
        service="llm",
        organisation=None,
        deadline_s=2.0,
        prompt=prompt,
        last_event=b"",
        configuration_version=1,
    )
    budget = budget or retries.WindowBudget(LIMITS)
    policy = _retry_policy.RetryPolicy(cluster, budget, lambda: 0.0)
    return _Fixture(budget, policy, admitted)


@pytest.mark.parametrize(
    ("sends", "charged"),
    [
        ("r", 0),
        ("P", 0),
        ("Pr", 0),
        ("rP", 0),
        ("rr", 1),
        ("PP", 1),
        ("pP", 1),
        ("ppP", 2),
        ("Ppr", 1),
        ("PrPr", 2),
        ("rPr", 1),
        ("PPr", 1),
    ],
)
def test_sends_beyond_a_prefill_and_a_run_are_charged(
    sends: str, charged: int
) -> None:
    """Guards against a second prefill that takes the place of the run."""
    fixture = _fixture()
    fixture.play(sends)
    assert fixture.used() == (charged, 0)


@pytest.mark.parametrize(
    ("prompt", "sends", "reserved"),
    [
        (PROMPT, "", 0),
        (PROMPT, "P", 1),
        (PROMPT, "r", 2),
        (PROMPT, "Pr", 2),
        (None, "", 0),
        (None, "r", 1),
    ],
)
def test_retry_reserves_what_it_may_be_charged(
    prompt: placement.Prompt | None, sends: str, reserved: int
) -> None:
    fixture = _fixture(prompt)
    fixture.play(sends)
    assert fixture.retry()
    assert fixture.used() == (0, reserved)
    fixture.policy.release(fixture.admitted, fixture.progress)
    assert fixture.used() == (0, 0)


def test_requests_that_fail_together_are_not_all_sent_again() -> None:
    """Guards against permits that count only what is already sent."""
    budget = retries.WindowBudget(LIMITS)
    fixtures = [_fixture(budget=budget) for _ in range(5)]
    for fixture in fixtures:
        fixture.play("r")
    assert [fixture.retry() for fixture in fixtures].count(True) == 1


def test_run_returns_the_reservation_that_it_did_not_need() -> None:
    """Guards against a long stream that keeps the prefill reserved."""
    fixture = _fixture()
    fixture.play("r")
    assert fixture.retry()
    fixture.play("r")
    assert fixture.used() == (1, 0)


def test_refused_retry_reserves_nothing() -> None:
    fixture = _fixture()
    fixture.play("rrrr")
    assert not fixture.retry()
    assert fixture.used() == (3, 0)
