"""Serves language models on a limited fleet under a changing workload."""

__version__ = "0.1.0"
