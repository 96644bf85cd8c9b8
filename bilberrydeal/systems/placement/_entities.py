"""What placement knows of an engine."""

import attrs

from ... import ports
from . import _parts

#: Prompt tokens that an engine reads a second until that is learnt.
FIRST_PREFILL_TOKENS_PER_S = 300_000.0


@attrs.define
class EngineLoad:
    """One engine; the gateway writes what it sends and what it learns."""

    #: Name of the engine.
    engine_id: str
    #: The failure domain it is in.
    failure_domain: str
    #: Service that it belongs to.
    service: str
    #: Whether it only reads prompts or makes tokens.
    role: ports.EngineRole
    #: Requests that run at once.
    slots: int
    #: Parts that it should keep, as far as this process knows.
    cache: _parts.PartCache
    #: Whether it takes new work.
    accepting: bool = True
    #: Prompt tokens that this process sent and that are not read yet.
    own_tokens: float = 0.0
    #: Prompt tokens that other processes sent and that are not read yet.
    others_tokens: float = 0.0
    #: Requests of this process there.
    own_requests: int = 0
    #: Requests of other processes there.
    others_requests: int = 0
    #: Prompt tokens that it reads a second.
    prefill_tokens_per_s: float = FIRST_PREFILL_TOKENS_PER_S

    @property
    def key(self) -> str:
        """Return the name of the engine."""
        return self.engine_id

    @property
    def queued_tokens(self) -> float:
        """Return the prompt tokens that wait there."""
        return self.own_tokens + self.others_tokens

    @property
    def requests(self) -> int:
        """Return the requests there."""
        return self.own_requests + self.others_requests
