"""The cyclopts application and the options that all commands share."""

import typing

import attrs
import cyclopts

from .. import __version__
from . import _client

_Url = typing.Annotated[str, cyclopts.Parameter(env_var="BILBERRYDEAL_URL")]
_Key = typing.Annotated[
    str,
    cyclopts.Parameter(env_var="BILBERRYDEAL_OPERATOR_KEY", show=False),
]

APP = cyclopts.App(
    name="bilberrydeal",
    help="Operate a bilberrydeal fleet.",
    version=__version__,
    result_action="return_value",
)


@cyclopts.Parameter(name="*")
@attrs.frozen(kw_only=True)
class Target:
    """Options that select the entry to call and the output format."""

    #: Base URL of an entry or of the load balancer.
    url: _Url = "http://127.0.0.1:8080"
    #: Operator key; prefer the environment variable.
    operator_key: _Key = ""
    #: Print JSON instead of a table.
    json: bool = False

    @property
    def client(self) -> _client.Client:
        """A client for the selected entry."""
        return _client.create_client(self.url, self.operator_key)


#: Options of a command that is called without any.
DEFAULT_TARGET = Target()
