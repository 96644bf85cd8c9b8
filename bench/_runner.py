"""Runs the cases of experiments in worker processes."""

import collections.abc
import concurrent.futures
import multiprocessing

from . import _experiments

#: Default number of worker processes.
DEFAULT_PROCESSES = 4


def run_case(case: _experiments.Case) -> _experiments.Measurement:
    """Run one case, in a worker process."""
    experiment = _experiments.EXPERIMENTS.get(case.experiment)()
    return _experiments.Measurement(case, experiment.run(case))


def run_all(
    names: collections.abc.Sequence[str],
    is_selected: collections.abc.Callable[[_experiments.Case], bool],
    processes: int = DEFAULT_PROCESSES,
) -> dict[str, tuple[_experiments.Measurement, ...]]:
    """Run the selected cases and return the results of each experiment."""
    cases = [
        case
        for name in names
        for case in _experiments.EXPERIMENTS.get(name)().cases()
        if is_selected(case)
    ]
    context = multiprocessing.get_context("fork")
    with concurrent.futures.ProcessPoolExecutor(
        processes, mp_context=context
    ) as pool:
        measurements = list(pool.map(run_case, cases))
    return {
        name: _experiments.EXPERIMENTS.get(name)().compare(
            tuple(
                measurement
                for measurement in measurements
                if measurement.case.experiment == name
            )
        )
        for name in names
    }
