"""Serves language models on a limited fleet under a shifting mix."""

__version__ = "0.1.0"
