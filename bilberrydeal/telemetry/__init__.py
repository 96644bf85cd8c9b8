"""Logs, metrics and traces of the daemon."""

from ._logs import configure
from ._logs import logger
from ._metrics import bounded_label
from ._metrics import Metrics
from ._sink import BoundedStream
from ._traces import Span
from ._traces import Tracing

__all__ = [
    "BoundedStream",
    "Metrics",
    "Span",
    "Tracing",
    "bounded_label",
    "configure",
    "logger",
]
