"""Base class of all exceptions of this package."""

import typing

import attrs

from . import _codes


@attrs.define(slots=False, eq=False)
class BilberrydealError(Exception):
    """An error with a stable code and typed fields.

    Subclasses set ``code`` and add fields. ``str()`` lists the code and the
    fields on one line, for log lines and error bodies.
    """

    code: typing.ClassVar[_codes.ErrorCode] = _codes.ErrorCode.INTERNAL

    def __str__(self) -> str:
        fields = attrs.asdict(self, recurse=False)
        shown = ", ".join(f"{name}={value}" for name, value in fields.items())
        return f"{self.code.value}: {shown}" if shown else self.code.value
