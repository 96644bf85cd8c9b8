"""The root of all failures that this package raises."""

import typing

import attrs

from . import _codes


@attrs.define(slots=False, eq=False)
class BilberrydealError(Exception):
    """A failure with a stable code and typed fields.

    Subclasses set ``code`` and add fields; ``str()`` is one sentence made
    from them, fit for a log line or an error body.
    """

    code: typing.ClassVar[_codes.ErrorCode] = _codes.ErrorCode.INTERNAL

    def __str__(self) -> str:
        fields = attrs.asdict(self, recurse=False)
        shown = ", ".join(f"{name}={value}" for name, value in fields.items())
        return f"{self.code.value}: {shown}" if shown else self.code.value
