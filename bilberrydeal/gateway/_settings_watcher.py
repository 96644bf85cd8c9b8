"""Detects changes of the settings file by polling or on a signal."""

import collections.abc
import pathlib

import attrs

from .. import settings
from .. import telemetry

LOG = telemetry.logger("reloading")

Apply = collections.abc.Callable[[settings.GatewaySettings], None]


class SettingsWatcher:
    """Reloads the settings file and applies changed settings.

    Invalid settings are logged, and the current ones stay in force.
    """

    def __init__(
        self,
        path: pathlib.Path,
        gateway_settings: settings.GatewaySettings,
        apply: Apply,
    ) -> None:
        self._path = path
        self._current = gateway_settings
        self._apply = apply
        self._last_text = ""
        self._rejected = ""

    def check(self, reason: str) -> None:
        """Read the file and apply changes; ``reason`` is logged."""
        try:
            text = self._path.read_text()
        except (OSError, UnicodeDecodeError) as error:
            self._log_rejected(str(error))
            return
        if text == self._last_text:
            return
        self._last_text = text
        try:
            found = settings.load_text(text)
        except settings.SettingsInvalid as error:
            self._log_rejected(str(error))
            return
        if not isinstance(found, settings.GatewaySettings):
            self._log_rejected("the role cannot change at run time")
            return
        self._rejected = ""
        if found == self._current:
            return
        LOG.info(
            "Settings reloaded.",
            reason=reason,
            changed=changed(self._current, found),
        )
        self._current = found
        self._apply(found)

    def _log_rejected(self, reason: str) -> None:
        """Log rejected settings once for each reason."""
        if reason != self._rejected:
            LOG.warning("Settings rejected.", reason=reason)
        self._rejected = reason


def changed(
    before: settings.GatewaySettings, after: settings.GatewaySettings
) -> list[str]:
    """Return the names of the fields that differ."""
    return [
        field.name
        for field in attrs.fields(settings.GatewaySettings)
        if getattr(before, field.name) != getattr(after, field.name)
    ]
