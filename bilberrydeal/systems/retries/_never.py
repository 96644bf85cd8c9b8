"""A retrier that never retries."""

from . import _base


@_base.RETRIERS.register("never")
class NeverRetrier:
    """Returns every failure to the caller."""

    def __init__(self, seed: int) -> None:
        self.seed = seed

    def succeeded(self, route: str, endpoint_id: str, now_s: float) -> None:
        """Ignore the success."""

    def delay_s(self, attempt: _base.Attempt, now_s: float) -> float | None:
        """Return ``None``, as nothing is retried."""
        return None
