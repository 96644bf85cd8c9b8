"""Messages that entries exchange to hold limits together."""

import attrs


@attrs.frozen
class OrganisationNeed:
    """What one entry needs of an organisation's limits."""

    #: Name of the organisation.
    organisation: str
    #: Requests a second offered here.
    requests_per_s: float
    #: Tokens a second offered here.
    tokens_per_s: float
    #: Requests offered at once here.
    concurrency: float
    #: Requests at once that the sender may still have or begin here.
    slots_held: int


@attrs.frozen
class NeedReport:
    """Sent by an entry to the home of some organisations."""

    #: Incarnation of the sender.
    entry: str
    #: Grows with each report of this sender to anyone.
    sequence: int
    #: Organisations near their limit at the sender.
    needs: tuple[OrganisationNeed, ...]


@attrs.frozen
class OrganisationShare:
    """What one entry may use of an organisation's limits."""

    #: Name of the organisation.
    organisation: str
    #: Share of the requests a second, 0 to 1.
    requests_share: float
    #: Share of the tokens a second, 0 to 1.
    tokens_share: float
    #: Requests at once.
    slots: int


@attrs.frozen
class ShareGrant:
    """The home's answer to a report."""

    #: Incarnation of the home.
    home: str
    #: Grows with each message of the home.
    sequence: int
    #: Shares of the receiver.
    shares: tuple[OrganisationShare, ...]


@attrs.frozen
class NeedAsk:
    """A home asks for a report that it has not had."""

    #: Incarnation of the home.
    home: str
    #: The organisations that need a report.
    organisations: tuple[str, ...]


@attrs.frozen
class Outgoing:
    """A message to be sent to a peer entry."""

    #: Incarnation of the receiver.
    entry: str
    #: The message.
    message: NeedReport | ShareGrant | NeedAsk
