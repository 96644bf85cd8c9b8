"""What all that reads or writes rows of origins needs."""

import collections.abc

import attrs

from ... import store

Clock = collections.abc.Callable[[], float]


@attrs.frozen
class StoreAccess:
    """The store, its clock, and for how long its rows are of use."""

    client: store.StoreClient
    #: Returns for how long a stream may be resumed, in seconds.
    kept_s: collections.abc.Callable[[], float]
    #: Returns the store's clock, ``None`` before its first response.
    store_s: collections.abc.Callable[[], float | None]
    #: Returns the monotonic time of this process, in seconds.
    clock: Clock
