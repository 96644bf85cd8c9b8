"""Scenarios with real processes behind a fault-injecting proxy."""
