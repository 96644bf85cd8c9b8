"""Decodes quotas of organisations and what a request costs of them."""

import msgspec

from .. import catalogue
from .. import decoding

#: Greatest rate, burst and cost; sums of many are still exact as floats.
AMOUNT_LIMIT = 1e15
#: Greatest number of tokens of a prompt or a response.
TOKENS_LIMIT = 1_000_000_000
#: Most characters of a value in an error message.
_SHOWN_LIMIT = 40


class QuotaInvalid(ValueError):
    """A quota whose fields cannot be used."""


def decode_quota(
    unit: msgspec.Raw,
    plain_tokens: msgspec.Raw,
    rate_per_s: msgspec.Raw,
    burst: msgspec.Raw,
) -> catalogue.Quota | None:
    """Return a quota, ``None`` for no limit; raises :class:`QuotaInvalid`.

    The fields come as undecoded JSON, since a number out of range would make
    the whole configuration unreadable. Without ``burst`` it is the amount of
    one second.
    """
    kind = _unit(unit)
    rate = _amount("rate_per_s", rate_per_s, 0.0)
    found = catalogue.Quota(
        unit=kind,
        rate_per_s=rate,
        burst=_amount("burst", burst, rate),
        plain_tokens=_amount("plain_tokens", plain_tokens, 0.0),
    )
    return found if rate else None


def quota_cost(quota: catalogue.Quota, token_counts: bytes | None) -> float:
    """Return what a request costs, given its ``Token-Usage`` header.

    A header with one usable number costs that, at least ``plain_tokens``;
    one without any costs ``plain_tokens``.
    """
    if quota.unit is catalogue.QuotaUnit.REQUESTS:
        return 1.0
    if token_counts is None:
        return quota.plain_tokens
    counts = token_counts.split(b",", 2)
    tokens = [found for found in map(_tokens, counts[:2]) if found is not None]
    if len(tokens) == len(counts) == 2:
        return float(sum(tokens))
    if len(tokens) != 1:
        return quota.plain_tokens
    return max(float(tokens[0]), quota.plain_tokens)


def _tokens(value: bytes) -> int | None:
    try:
        tokens = int(value)
    except ValueError:
        return None
    return tokens if 0 <= tokens <= TOKENS_LIMIT else None


def _unit(raw: msgspec.Raw) -> catalogue.QuotaUnit:
    found = _decoded("unit", raw)
    if found is None:
        return catalogue.QuotaUnit.REQUESTS
    try:
        return catalogue.QuotaUnit(found)
    except ValueError as error:
        raise QuotaInvalid(f"unit {str(found)[:_SHOWN_LIMIT]!r}") from error


def _amount(name: str, raw: msgspec.Raw, default: float) -> float:
    found = _decoded(name, raw)
    if found is None:
        return default
    if isinstance(found, bool) or not isinstance(found, int | float):
        raise QuotaInvalid(f"{name} {str(found)[:_SHOWN_LIMIT]!r}")
    # Integers of any size come here, which cannot all be made floats.
    if not 0 <= found <= AMOUNT_LIMIT:
        raise QuotaInvalid(f"{name} {str(found)[:_SHOWN_LIMIT]}")
    return float(found)


def _decoded(name: str, raw: msgspec.Raw) -> object:
    """Return the value of a field, ``None`` if it is absent or null."""
    if not raw:
        return None
    try:
        return msgspec.json.decode(raw)
    except decoding.DECODE_ERRORS as error:
        raise QuotaInvalid(f"{name}: {error}") from error
