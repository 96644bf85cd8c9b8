"""Port to the platform's interface for usage reports."""

import typing

import attrs

from .. import errors


@attrs.frozen
class OrganisationFigures:
    """Usage of one organisation in one window."""

    #: Prompt tokens computed.
    prompt_tokens: int = 0
    #: Prompt tokens read from a prefix cache.
    cached_tokens: int = 0
    #: Tokens generated.
    output_tokens: int = 0
    #: Calls of plain services and models.
    calls: int = 0


@attrs.frozen
class UsageReport:
    """Report of one organisation's usage in one window."""

    #: Idempotency key of the report; a repeat has no effect.
    report_id: str
    #: Start of the window, in seconds since the epoch.
    window_start_s: int
    #: Length of the window, in seconds.
    window_length_s: int
    #: Name of the organisation.
    organisation: str
    #: Sealed usage of the window.
    figures: OrganisationFigures
    #: Fencing token of the lease under which the report was made.
    fence: int


@attrs.define(slots=False, eq=False)
class ReportConflict(errors.BilberrydealError):
    """The platform already has a different report of this window."""

    code: typing.ClassVar[errors.ErrorCode] = errors.ErrorCode.PLATFORM_REFUSED

    #: Identifier of the rejected report.
    report_id: str


class UsageInterface(typing.Protocol):
    """Accepts usage reports; raises the table service's errors."""

    async def report(self, report: UsageReport, timeout_s: float) -> None:
        """Submit one report, or raise :class:`ReportConflict`."""
