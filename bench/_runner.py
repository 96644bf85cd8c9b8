"""Runs the cases of experiments on a few processes."""

import collections.abc
import concurrent.futures
import multiprocessing

from . import _experiments

#: Processes that run cases, if not told otherwise.
PROCESSES = 4


def run_case(case: _experiments.Case) -> _experiments.Measured:
    """Carry out one case; the entry point of a process."""
    experiment = _experiments.EXPERIMENTS.get(case.experiment)()
    return _experiments.Measured(case, experiment.run(case))


def run_all(
    names: collections.abc.Sequence[str],
    pick: collections.abc.Callable[[_experiments.Case], bool],
    processes: int = PROCESSES,
) -> dict[str, tuple[_experiments.Measured, ...]]:
    """Return the compared figures of each experiment."""
    cases = [
        case
        for name in names
        for case in _experiments.EXPERIMENTS.get(name)().cases()
        if pick(case)
    ]
    context = multiprocessing.get_context("fork")
    with concurrent.futures.ProcessPoolExecutor(
        processes, mp_context=context
    ) as pool:
        measured = list(pool.map(run_case, cases))
    return {
        name: _experiments.EXPERIMENTS.get(name)().compare(
            tuple(m for m in measured if m.case.experiment == name)
        )
        for name in names
    }
