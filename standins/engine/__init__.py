"""Fake model engine with continuous batching."""

from ._app import build
from ._app import EngineApp
from ._app import Fault
from ._batch import Batch
from ._batch import Rates
from ._batch import Running
from ._cache import PrefixCache
from ._records import Applied
from ._records import Executed
from ._records import Headers
from ._text import answer
from ._text import words

__all__ = [
    "Applied",
    "Batch",
    "EngineApp",
    "Executed",
    "Fault",
    "Headers",
    "PrefixCache",
    "Rates",
    "Running",
    "answer",
    "build",
    "words",
]
