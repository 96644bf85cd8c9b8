"""Structured logs: one JSON object per line, prefixed by component."""

import logging
import sys
import typing

import structlog

from . import _sink


def configure(
    level: str, stream: typing.TextIO | _sink.BoundedStream | None = None
) -> None:
    """Write logs of ``level`` and above to a stream as JSON.

    The default stream is standard error. Loggers are cached on first use and
    keep the stream configured then.
    """
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            _prefix,
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.PrintLoggerFactory(
            typing.cast(typing.TextIO, stream or sys.stderr)
        ),
        cache_logger_on_first_use=True,
    )


def logger(part: str) -> typing.Any:
    """Return the logger of one component.

    Example::

        LOG = telemetry.logger("lease")
        LOG.info("Lease taken.", duty="reporter")
        # event: "lease: Lease taken."
    """
    return structlog.get_logger(part=part)


def _prefix(
    _logger: typing.Any, _name: str, event: structlog.typing.EventDict
) -> structlog.typing.EventDict:
    event["event"] = f"{event.pop('part', 'main')}: {event['event']}"
    return event
