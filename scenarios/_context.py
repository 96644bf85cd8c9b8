"""Holds one fleet for steps that are plain functions."""

import asyncio
import collections.abc
import concurrent.futures
import pathlib
import threading
import typing

import uvloop

from . import _caller
from . import _fleet
from . import _load
from . import _shape
from . import _waits

Result = typing.TypeVar("Result")
PendingOutcome = concurrent.futures.Future[_caller.Outcome]


class Context:
    """Runs a fleet on an event loop of its own thread."""

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
        """Return the fleet, once it was set up."""
        assert self._fleet is not None
        return self._fleet

    def run(
        self, work: collections.abc.Coroutine[object, object, Result]
    ) -> Result:
        """Run something to its end."""
        return asyncio.run_coroutine_threadsafe(work, self.loop).result()

    def spawn(
        self, work: collections.abc.Coroutine[object, object, Result]
    ) -> concurrent.futures.Future[Result]:
        """Run something beside the steps."""
        return asyncio.run_coroutine_threadsafe(work, self.loop)

    def set_up(self, shape: _shape.Shape) -> None:
        """Start a fleet."""
        fleet = _fleet.Fleet(shape, self.folder)
        self.run(fleet.__aenter__())
        self._fleet = fleet

    def close(self) -> None:
        """End the fleet and the thread."""
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
        """Send the named request to an entry and keep the outcome."""
        outcome = self.run(self.fleet.ask(entry, self.asks[name]))
        self.outcomes[name] = outcome
        return outcome

    def begin(self, name: str, entry: int) -> None:
        """Send a request beside the steps; wait until its text flows."""
        flowing = threading.Event()
        ask = self.asks[name]
        self.pending[name] = self.spawn(
            self.fleet.ask(entry, ask, on_text=flowing.set)
        )
        if ask.stream and not flowing.wait(_waits.PATIENCE_S):
            raise TimeoutError(f"no text of {name}")

    def finish(self, name: str) -> _caller.Outcome:
        """Wait for a request that was begun."""
        self.outcomes[name] = self.pending[name].result(_waits.PATIENCE_S)
        return self.outcomes[name]

    def begin_load(self, mix: _load.Mix | None = None) -> None:
        """Keep requests of all organisations in flight on all entries."""

        async def begin() -> None:
            self._load = _load.Load(self.fleet, seed=1, mix=mix)

        self.run(begin())

    def end_load(self) -> None:
        """Let the load run out."""
        assert self._load is not None
        self.run(self._load.end())
