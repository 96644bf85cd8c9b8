"""Chooses the engine from whose cache parts of a prompt are fetched."""

import attrs

from . import _base
from . import _entities
from . import _parts

#: Shortest time that a fetch must save, in seconds.
MIN_SAVING_S = 0.003


@attrs.frozen
class Fetch:
    """A transfer of cached prompt parts from one engine to another."""

    #: Engine that has the parts cached.
    source_id: str
    #: Tokens that the other engine does not have to prefill.
    tokens: float
    #: Time that the transfer takes, in seconds.
    takes_s: float


@attrs.frozen
class _Holder:
    """An engine with the length of the prefix that it has cached."""

    engine: _entities.EngineLoad
    cached_tokens: int


class FetchSources:
    """Engines that have a prefix of a prompt cached.

    Only the longest cached prefix of each failure domain is considered.
    """

    def __init__(self, prompt: _parts.Prompt, engines: _base.Engines) -> None:
        self._by_domain: dict[str, _Holder] = {}
        for engine in engines:
            cached = engine.cache.cached_tokens(prompt)
            known = self._by_domain.get(engine.failure_domain)
            if cached and (known is None or cached > known.cached_tokens):
                holder = _Holder(engine, cached)
                self._by_domain[engine.failure_domain] = holder

    def best_for(
        self, engine: _entities.EngineLoad, missing_from: float
    ) -> Fetch | None:
        """Return the fetch that saves most time, ``None`` if none does.

        ``missing_from`` is the number of tokens of the prompt that the engine
        has cached itself.
        """
        best: Fetch | None = None
        best_saving_s = MIN_SAVING_S
        for domain, holder in self._by_domain.items():
            tokens = holder.cached_tokens - missing_from
            if tokens <= 0 or holder.engine is engine:
                continue
            takes_s = engine.speed.fetch_s(
                tokens, domain != engine.failure_domain
            )
            saving_s = tokens * engine.token_s - takes_s
            if saving_s > best_saving_s:
                best = Fetch(holder.engine.engine_id, tokens, takes_s)
                best_saving_s = saving_s
        return best
