"""Deciding systems that run over tables of entities, without any I/O."""

from ._schedule import Schedule
from ._schedule import System
from ._tables import Entity
from ._tables import Table
from ._tables import Tables

__all__ = ["Entity", "Schedule", "System", "Table", "Tables"]
