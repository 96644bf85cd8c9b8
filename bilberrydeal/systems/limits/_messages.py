"""Messages between entries that enforce limits jointly."""

import attrs


@attrs.frozen
class OrganisationNeed:
    """The part of an organisation's limits that one entry needs."""

    #: Name of the organisation.
    organisation: str
    #: Requests per second offered at the sender.
    requests_per_s: float
    #: Tokens per second offered at the sender.
    tokens_per_s: float
    #: Concurrent requests that the offered load would need at the sender.
    concurrency: float
    #: Concurrent requests that the sender runs or may still start.
    slots_held: int


@attrs.frozen
class NeedReport:
    """Reports an entry's needs to the home of some organisations."""

    #: Incarnation of the sender.
    entry: str
    #: Increases with each message of the sender, whoever receives it.
    sequence: int
    #: Needs of organisations that are near their limit at the sender.
    needs: tuple[OrganisationNeed, ...]


@attrs.frozen
class OrganisationShare:
    """The part of an organisation's limits that one entry may use."""

    #: Name of the organisation.
    organisation: str
    #: Share of the limit on requests per second, 0 to 1.
    requests_share: float
    #: Share of the limit on tokens per second, 0 to 1.
    tokens_share: float
    #: Concurrent requests.
    slots: int


@attrs.frozen
class ShareGrant:
    """Grants shares of limits in response to a need report."""

    #: Incarnation of the home.
    home: str
    #: Increases with each message of the home.
    sequence: int
    #: Shares of the receiver.
    shares: tuple[OrganisationShare, ...]


@attrs.frozen
class NeedReportRequest:
    """Requests a need report that the home is missing."""

    #: Incarnation of the home.
    home: str
    #: Organisations to report.
    organisations: tuple[str, ...]


@attrs.frozen
class OutgoingMessage:
    """A message to a peer entry."""

    #: Incarnation of the receiver.
    entry: str
    #: The message.
    message: NeedReport | ShareGrant | NeedReportRequest
