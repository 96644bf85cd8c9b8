"""An entry's view of configuration, members, hosts and peers."""

from ._changes import ChangeApplier
from ._exchange import PeerExchange
from ._shared_state import CONFIGURATION_POLL_S
from ._shared_state import HOSTS_POLL_S
from ._shared_state import SharedState
from ._shared_state import STORE_OUTAGE_MAX_S
from ._subset import MemberSync

__all__ = [
    "CONFIGURATION_POLL_S",
    "ChangeApplier",
    "HOSTS_POLL_S",
    "MemberSync",
    "PeerExchange",
    "STORE_OUTAGE_MAX_S",
    "SharedState",
]
