"""Port to the interface that takes usage reports."""

import typing

import attrs

from .. import errors


@attrs.frozen
class OrganisationFigures:
    """What one organisation used in one window."""

    #: Prompt tokens computed.
    prompt_tokens: int = 0
    #: Prompt tokens found in a prefix cache.
    cached_tokens: int = 0
    #: Tokens generated.
    output_tokens: int = 0
    #: Calls of plain services and models.
    calls: int = 0


@attrs.frozen
class UsageReport:
    """The figures of one organisation for one window."""

    #: Identity of the report; a repeat of it changes nothing.
    report_id: str
    #: Start of the window, seconds since the epoch.
    window_start_s: int
    #: Length of the window.
    window_length_s: int
    #: Whose usage it is.
    organisation: str
    #: The sealed figures.
    figures: OrganisationFigures
    #: Fencing number of the lease under which the report was decided.
    fence: int


@attrs.define(slots=False, eq=False)
class ReportConflict(errors.BilberrydealError):
    """The platform holds other figures for this window."""

    code: typing.ClassVar[errors.ErrorCode] = errors.ErrorCode.PLATFORM_REFUSED

    #: Identity of the report that was refused.
    report_id: str


class UsageInterface(typing.Protocol):
    """Takes reports; errors as those of the table service."""

    async def report(self, report: UsageReport, timeout_s: float) -> None:
        """Hand in one report, or raise :class:`ReportConflict`."""
