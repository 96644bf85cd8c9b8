"""What a dispatcher tells about usage that an agent may not hand over."""

import typing

import attrs

from ... import link
from ... import ports


@attrs.frozen
class LostWork:
    """A request whose agent went away in the midst of its answer."""

    number: link.RequestNumber
    organisation: str
    endpoint_id: str
    #: Tokens that the caller got.
    tokens: int
    #: Whether another incarnation of the agent has come.
    agent_replaced: bool


@attrs.frozen
class Answered:
    """A request that was answered whole."""

    number: link.RequestNumber
    organisation: str
    endpoint_id: str
    #: Incarnation of the agent that answered.
    agent: str
    #: What the answer says that it used.
    figures: ports.OrganisationFigures
    #: When it came, monotonic.
    answered_at_s: float


class Bills(typing.Protocol):
    """Learns of requests that their agents may not bill any more."""

    def bill_lost(self, lost: LostWork) -> None:
        """Take a request whose agent went away in the midst of it."""

    def answered(self, answer: Answered) -> None:
        """Take a request that was answered, before its record comes."""


def answered(
    submit: link.Submit,
    agent_link: link.AgentLink,
    end: link.Finished,
    now_s: float,
) -> Answered:
    """Return what an answer used, as its agent counts it."""
    handed_over = bool(submit.kv_handle)
    figures = ports.OrganisationFigures(
        prompt_tokens=end.prompt_tokens,
        cached_tokens=0 if handed_over else end.cached_tokens,
        output_tokens=end.output_tokens,
        calls=1,
    )
    return Answered(
        number=submit.number,
        organisation=submit.organisation,
        endpoint_id=agent_link.endpoint_id,
        agent=agent_link.agent,
        figures=figures,
        answered_at_s=now_s,
    )
