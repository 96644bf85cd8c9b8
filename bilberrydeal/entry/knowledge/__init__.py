"""What an entry knows: configuration, members, hosts and peers."""

from ._exchange import Exchange
from ._following import CONFIGURATION_POLL_S
from ._following import Following
from ._following import HOSTS_READ_S
from ._following import PACT_LONGEST_S
from ._subset import MemberSync
from ._taking import ChangeTaker

__all__ = [
    "CONFIGURATION_POLL_S",
    "ChangeTaker",
    "Exchange",
    "Following",
    "HOSTS_READ_S",
    "MemberSync",
    "PACT_LONGEST_S",
]
