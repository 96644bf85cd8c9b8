"""Runs the feature files; the modules listed here define the steps."""

import pytest_bdd

pytest_plugins = (
    "scenarios.tests._steps_fleets",
    "scenarios.tests._steps_hops",
    "scenarios.tests._steps_late",
    "scenarios.tests._steps_operators",
    "scenarios.tests._steps_planning",
    "scenarios.tests._steps_processes",
    "scenarios.tests._steps_records",
    "scenarios.tests._steps_requests",
)

pytest_bdd.scenarios("../features")
