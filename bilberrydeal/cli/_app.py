"""The application that all commands belong to."""

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
    """Which entry is called, and how its answer is shown."""

    #: Base URL of an entry or of the balancer.
    url: _Url = "http://127.0.0.1:8080"
    #: The operators' key; better given by the environment.
    operator_key: _Key = ""
    #: Print JSON.
    json: bool = False

    @property
    def client(self) -> _client.Client:
        """A client of the entry."""
        return _client.client(self.url, self.operator_key)


#: Options of a command that is given none.
DEFAULT = Target()
