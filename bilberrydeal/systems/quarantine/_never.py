"""A quarantine system that keeps nothing from engines."""

from . import _base


@_base.QUARANTINES.register("never")
class NeverQuarantine:
    """Sends all prompts to engines: the baseline."""

    def observe_loss(self, loss: _base.EngineLoss, now_s: float) -> None:
        """Ignore the loss."""

    def observe_sound(self, parts: _base.Parts, now_s: float) -> None:
        """Ignore the stream."""

    def observe_unproven_end(
        self, process: str, parts: _base.Parts, now_s: float
    ) -> None:
        """Ignore the stream."""

    def observe_response(
        self, process: str, sent_s: float, now_s: float
    ) -> None:
        """Ignore the response."""

    def observe_end(self, process: str, now_s: float) -> None:
        """Ignore the end."""

    def run(self, now_s: float) -> list[_base.Decision]:
        """Decide nothing."""
        return []

    def find(
        self, parts: _base.Parts, now_s: float
    ) -> _base.Quarantine | None:
        """Find nothing."""
        return None

    def suspects(self, parts: _base.Parts, now_s: float) -> bool:
        """Suspect nothing."""
        return False

    def probe(self, quarantine: _base.Quarantine, now_s: float) -> bool:
        """Let every request through."""
        return True

    def quarantines(self, now_s: float) -> tuple[_base.Quarantine, ...]:
        """Return no quarantines."""
        return ()

    def restore(self, quarantine: _base.Quarantine, now_s: float) -> None:
        """Ignore the quarantine."""

    def news(self, gateways: int, now_s: float) -> _base.News:
        """Tell nothing."""
        return _base.News()

    def summary(self, now_s: float) -> _base.News:
        """Tell nothing."""
        return _base.News()

    def learn(self, news: _base.News, now_s: float) -> None:
        """Ignore the news."""
