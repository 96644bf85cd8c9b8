"""Loads settings and reports every invalid field."""

import pathlib
import types
import typing

import attrs
import msgspec
import yaml

from .. import errors
from . import _gateway
from . import _model

Settings = (
    _model.EntrySettings | _model.AgentSettings | _gateway.GatewaySettings
)
_ROLES: dict[object, type[Settings]] = {
    "entry": _model.EntrySettings,
    "agent": _model.AgentSettings,
    "gateway": _gateway.GatewaySettings,
}


@attrs.frozen
class Problem:
    """One invalid field."""

    #: Path of the field, such as ``link.idle_heartbeat_s``.
    path: str
    #: The given value.
    given: str
    #: Description of the allowed values.
    allowed: str

    def __str__(self) -> str:
        return f"{self.path}: given {self.given}, allowed {self.allowed}"


@attrs.define(slots=False, eq=False)
class SettingsInvalid(errors.BilberrydealError):
    """A settings file with at least one problem."""

    code: typing.ClassVar[errors.ErrorCode] = errors.ErrorCode.SETTINGS_INVALID

    #: All problems that were found.
    problems: tuple[Problem, ...]


def load(path: pathlib.Path) -> Settings:
    """Return the settings in a file, or raise :class:`SettingsInvalid`."""
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        problem = Problem(path="(file)", given=str(error), allowed="a file")
        raise SettingsInvalid(problems=(problem,)) from error
    return load_text(text)


def load_text(text: str) -> Settings:
    """Return the settings in a YAML text.

    Example::

        load_text("role: agent\\nhost_id: h1\\n...")
    """
    try:
        given = yaml.safe_load(text)
    except yaml.YAMLError as error:
        problem = Problem(path="(file)", given=str(error), allowed="YAML")
        raise SettingsInvalid(problems=(problem,)) from error
    role = given.get("role") if isinstance(given, dict) else None
    if not isinstance(role, str) or role not in _ROLES:
        problem = Problem(
            path="role",
            given=repr(role),
            allowed=" or ".join(map(str, _ROLES)),
        )
        raise SettingsInvalid(problems=(problem,))
    problems: list[Problem] = []
    loaded = _build(_ROLES[role], given, "", problems)
    if problems:
        raise SettingsInvalid(problems=tuple(problems))
    return typing.cast(Settings, loaded)


def _build(
    settings_type: type, given: object, path: str, problems: list[Problem]
) -> object:
    """Return an instance of a settings class, or ``None`` after a problem."""
    if not isinstance(given, dict):
        problems.append(Problem(path or "(file)", repr(given), "a mapping"))
        return None
    hints = typing.get_type_hints(settings_type, include_extras=True)
    fields = {field.name: field for field in attrs.fields(settings_type)}
    for name in given:
        if name not in fields:
            problems.append(
                Problem(f"{path}{name}", repr(given[name]), "no such field")
            )
    before = len(problems)
    values: dict[str, object] = {}
    for name, field in fields.items():
        if name in given:
            values[name] = _convert(
                hints[name], given[name], f"{path}{name}", problems
            )
        elif field.default is attrs.NOTHING:
            problems.append(
                Problem(
                    f"{path}{name}", "nothing", _describe_type(hints[name])
                )
            )
    return settings_type(**values) if len(problems) == before else None


def _convert(
    hint: typing.Any, given: object, path: str, problems: list[Problem]
) -> object:
    if isinstance(hint, type) and attrs.has(hint):
        return _build(hint, given, f"{path}.", problems)
    try:
        return msgspec.convert(given, hint)
    except msgspec.ValidationError:
        problems.append(Problem(path, repr(given), _describe_type(hint)))
        return None


def _describe_type(hint: typing.Any) -> str:
    """Return a readable description of a type's allowed values."""
    if typing.get_origin(hint) is typing.Annotated:
        base, *metas = typing.get_args(hint)
        return ", ".join([_describe_type(base), *map(_describe_bounds, metas)])
    if typing.get_origin(hint) is typing.Literal:
        return " or ".join(map(str, typing.get_args(hint)))
    if isinstance(hint, types.GenericAlias):
        return str(hint)
    return str(getattr(hint, "__name__", hint))


def _describe_bounds(meta: msgspec.Meta) -> str:
    shown = [
        f"{label} {value}"
        for label, value in (
            ("at least", meta.ge),
            ("more than", meta.gt),
            ("at most", meta.le),
            ("matching", meta.pattern),
        )
        if value is not None
    ]
    return ", ".join(shown)
