"""Notices that the settings file changed, with a signal or without."""

import collections.abc
import pathlib

import attrs

from .. import settings
from .. import telemetry

LOG = telemetry.logger("reloading")

Apply = collections.abc.Callable[[settings.GatewaySettings], None]


class SettingsWatcher:
    """Reads the settings file anew and hands changed settings on.

    Settings that are wrong are logged and the present ones stay in force.
    """

    def __init__(
        self,
        path: pathlib.Path,
        gateway_settings: settings.GatewaySettings,
        apply: Apply,
    ) -> None:
        self._path = path
        self._chosen = gateway_settings
        self._apply = apply
        self._text = ""
        self._rejected = ""

    def check(self, reason: str) -> None:
        """Read the file; ``reason`` says why, for the log."""
        try:
            text = self._path.read_text()
        except (OSError, UnicodeDecodeError) as error:
            self._log_rejected(str(error))
            return
        if text == self._text:
            return
        self._text = text
        try:
            found = settings.load_text(text)
        except settings.SettingsInvalid as error:
            self._log_rejected(str(error))
            return
        if not isinstance(found, settings.GatewaySettings):
            self._log_rejected("the role changed")
            return
        self._rejected = ""
        if found == self._chosen:
            return
        LOG.info(
            "Settings reloaded.",
            reason=reason,
            changed=changed(self._chosen, found),
        )
        self._chosen = found
        self._apply(found)

    def _log_rejected(self, reason: str) -> None:
        """Log wrong settings once."""
        if reason != self._rejected:
            LOG.warning("Settings not taken.", reason=reason)
        self._rejected = reason


def changed(
    before: settings.GatewaySettings, after: settings.GatewaySettings
) -> list[str]:
    """Return the names of the sections that differ."""
    return [
        field.name
        for field in attrs.fields(settings.GatewaySettings)
        if getattr(before, field.name) != getattr(after, field.name)
    ]
