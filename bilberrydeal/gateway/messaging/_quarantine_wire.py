"""Encodes what gateways tell each other about crashing prompt parts."""

import msgspec

from ...systems import quarantine


class WirePrompt(msgspec.Struct, array_like=True):
    """A prompt whose stream was lost."""

    request_part: bytes
    parts: tuple[bytes, ...]
    started: bool


class WireLoss(msgspec.Struct, array_like=True):
    """A lost engine."""

    process: str
    failure_domain: str
    age_s: float
    prompts: tuple[WirePrompt, ...]
    sent_age_s: float | None = None


class WireQuarantine(msgspec.Struct, array_like=True):
    """A quarantine."""

    parts: tuple[bytes, ...]
    age_s: float
    renewed_age_s: float
    crashes: int
    engines: tuple[str, ...]


class WireNews(msgspec.Struct, array_like=True):
    """News, encoded without field names to save bytes."""

    losses: tuple[WireLoss, ...] = ()
    sound: tuple[bytes, ...] = ()
    alive: tuple[str, ...] = ()
    quarantines: tuple[WireQuarantine, ...] = ()


def to_wire(news: quarantine.News | None) -> WireNews | None:
    """Return news as encoded."""
    if news is None:
        return None
    return WireNews(
        tuple(
            WireLoss(
                loss.process,
                loss.failure_domain,
                loss.age_s,
                tuple(
                    WirePrompt(each.request_part, each.parts, each.started)
                    for each in loss.prompts
                ),
                loss.sent_age_s,
            )
            for loss in news.losses
        ),
        news.sound,
        news.alive,
        tuple(
            WireQuarantine(
                each.parts,
                each.age_s,
                each.renewed_age_s,
                each.crashes,
                each.engines,
            )
            for each in news.quarantines
        ),
    )


def from_wire(wire: WireNews | None) -> quarantine.News | None:
    """Return decoded news."""
    if wire is None:
        return None
    return quarantine.News(
        tuple(
            quarantine.LossReport(
                loss.process,
                loss.failure_domain,
                loss.age_s,
                tuple(
                    quarantine.SuspectPrompt(
                        each.request_part, each.parts, each.started
                    )
                    for each in loss.prompts
                ),
                loss.sent_age_s,
            )
            for loss in wire.losses
        ),
        wire.sound,
        wire.alive,
        tuple(
            quarantine.QuarantineReport(
                each.parts,
                each.age_s,
                each.renewed_age_s,
                each.crashes,
                each.engines,
            )
            for each in wire.quarantines
        ),
    )
