"""Counts the outcomes of callers' requests."""

import math

from ... import errors
from ... import link
from ... import telemetry
from . import _demand
from . import _request


class MetricsObserver:
    """Counts outcomes in metrics with a bounded number of labels."""

    def __init__(
        self, metrics: telemetry.Metrics, demand: _demand.DemandMeter
    ) -> None:
        self._demand = demand
        self._responses = metrics.counter(
            "bilberrydeal_answers_total",
            "Answers that went out whole, by organisation and route.",
        )
        self._refusals = metrics.counter(
            "bilberrydeal_refusals_total",
            "Refusals, by code and by what they say of execution.",
        )
        self._tokens = metrics.counter(
            "bilberrydeal_tokens_total", "Tokens of answers, by phase."
        )
        self._organisations: set[str] = set()

    def answered(
        self, request: _request.AdmittedRequest, end: link.Finished
    ) -> None:
        """Count an answer that was sent completely."""
        if request.generation is not None:
            self._demand.answered(
                request.service,
                end.prompt_tokens,
                end.cached_tokens,
                end.output_tokens,
                request.output_tokens,
            )
        organisation = telemetry.bounded_label(
            request.organisation, self._organisations
        )
        self._responses.inc(
            {"organisation": organisation, "route": request.route}
        )
        for phase, tokens in (
            ("prompt", end.prompt_tokens),
            ("cached", end.cached_tokens),
            ("output", end.output_tokens),
        ):
            if tokens:
                self._tokens.add({"phase": phase}, math.ceil(tokens))

    def refused(self, refusal: errors.Refusal) -> None:
        """Count a refusal."""
        self._refusals.inc(
            {
                "code": refusal.reason.value,
                "executed": refusal.executed.value,
            }
        )
