"""Which phase of its shutdown a gateway has reached."""

import attrs


@attrs.define
class ShutdownState:
    """What the shutdown of a gateway means for requests."""

    #: Whether requests that have not begun are refused, since they might not
    #: end in time.
    refusing: bool = False
    #: Whether time is up, so that requests in flight are answered as failed.
    interrupting: bool = False
