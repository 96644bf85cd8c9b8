"""Stand-ins of the platform's services."""

from ._memory import MemoryTable

__all__ = ["MemoryTable"]
