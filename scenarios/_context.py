"""Lets synchronous steps control an asynchronous fleet."""

import asyncio
import collections.abc
import concurrent.futures
import pathlib
import threading
import typing

import uvloop

from . import _caller
from . import _composition
from . import _fleet
from . import _load
from . import _waits

Result = typing.TypeVar("Result")
PendingOutcome = concurrent.futures.Future[_caller.Outcome]


class Context:
    """Runs a fleet on an event loop in a separate thread."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.loop = uvloop.new_event_loop()
        self.pending: dict[str, PendingOutcome] = {}
        self.outcomes: dict[str, _caller.Outcome] = {}
        self.asks: dict[str, _caller.Ask] = {}
        self._fleet: _fleet.Fleet | None = None
        self._load: _load.Load | None = None
        self._thread = threading.Thread(target=self.loop.run_forever)
        self._thread.start()

    @property
    def fleet(self) -> _fleet.Fleet:
        """Return the fleet; :meth:`set_up` must have been called."""
        assert self._fleet is not None
        return self._fleet

    def run(
        self, work: collections.abc.Coroutine[object, object, Result]
    ) -> Result:
        """Run a coroutine and return its result."""
        return asyncio.run_coroutine_threadsafe(work, self.loop).result()

    def spawn(
        self, work: collections.abc.Coroutine[object, object, Result]
    ) -> concurrent.futures.Future[Result]:
        """Start a coroutine in the background."""
        return asyncio.run_coroutine_threadsafe(work, self.loop)

    def set_up(self, composition: _composition.Composition) -> None:
        """Start a fleet."""
        fleet = _fleet.Fleet(composition, self.folder)
        self.run(fleet.__aenter__())
        self._fleet = fleet

    def close(self) -> None:
        """Stop the fleet and the thread."""
        for request in self.pending.values():
            request.cancel()
        if self._load is not None:
            self.loop.call_soon_threadsafe(self._load.cancel_requests)
        if self._fleet is not None:
            self.run(self._fleet.__aexit__())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join()
        self.loop.close()

    def ask(self, name: str, entry: int) -> _caller.Outcome:
        """Send the named request to an entry and store its outcome."""
        outcome = self.run(self.fleet.ask(entry, self.asks[name]))
        self.outcomes[name] = outcome
        return outcome

    def begin(self, name: str, entry: int) -> None:
        """Send a request in the background; wait for its first text."""
        first_text = threading.Event()
        ask = self.asks[name]
        self.pending[name] = self.spawn(
            self.fleet.ask(entry, ask, on_text=first_text.set)
        )
        if ask.stream and not first_text.wait(_waits.MAX_WAIT_S):
            raise TimeoutError(f"no text arrived for {name}")

    def finish(self, name: str) -> _caller.Outcome:
        """Wait for a request that :meth:`begin` sent."""
        self.outcomes[name] = self.pending[name].result(_waits.MAX_WAIT_S)
        return self.outcomes[name]

    def begin_load(self, mix: _load.Mix | None = None) -> None:
        """Start a load of all organisations on all entries."""

        async def begin() -> None:
            self._load = _load.Load(self.fleet, seed=1, mix=mix)

        self.run(begin())

    def end_load(self) -> None:
        """Stop the load and wait for its requests in flight."""
        assert self._load is not None
        self.run(self._load.end())
