"""Reports usage that an agent may fail to deliver."""

import typing

import attrs

from ... import link
from ... import ports


@attrs.frozen
class LostRequest:
    """A request whose agent was lost in the middle of its answer."""

    number: link.RequestNumber
    organisation: str
    endpoint_id: str
    #: Tokens that the caller received.
    tokens: int
    #: Whether a new incarnation of the agent has connected.
    agent_replaced: bool


@attrs.frozen
class AnsweredRequest:
    """A request that was answered completely."""

    number: link.RequestNumber
    organisation: str
    endpoint_id: str
    #: Incarnation of the agent that answered.
    agent: str
    #: Usage as stated in the answer.
    figures: ports.OrganisationFigures
    #: When the answer arrived, monotonic.
    answered_at_s: float


class BillingListener(typing.Protocol):
    """Is notified of requests whose agents may be unable to bill them."""

    def on_request_lost(self, lost: LostRequest) -> None:
        """Handle a request whose agent was lost in the middle of it."""

    def on_request_answered(self, answer: AnsweredRequest) -> None:
        """Handle an answered request whose usage record is outstanding."""


def answered_request(
    submit: link.Submit,
    agent_link: link.AgentLink,
    end: link.Finished,
    now_s: float,
) -> AnsweredRequest:
    """Return the usage of an answer, as its agent counts it."""
    has_remote_prefill = bool(submit.kv_handle)
    figures = ports.OrganisationFigures(
        prompt_tokens=end.prompt_tokens,
        cached_tokens=0 if has_remote_prefill else end.cached_tokens,
        output_tokens=end.output_tokens,
        calls=1,
    )
    return AnsweredRequest(
        number=submit.number,
        organisation=submit.organisation,
        endpoint_id=agent_link.endpoint_id,
        agent=agent_link.agent,
        figures=figures,
        answered_at_s=now_s,
    )
