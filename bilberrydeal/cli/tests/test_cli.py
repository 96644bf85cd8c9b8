"""Tests the command line against a fake entry."""

import asyncio
import collections.abc
import pathlib
import threading

from aiohttp import web
import msgspec
import pytest

from bilberrydeal import configuration
from bilberrydeal import operators
from bilberrydeal.cli import _client
from bilberrydeal.cli import _main
from bilberrydeal.cli import _table_file

ROWS = [
    configuration.Organisation("russo", weight=2.0, revision=3),
    configuration.Organisation("derwent", tokens_per_s=9.5, revision=4),
]


@pytest.mark.parametrize("kind", ["csv", "yaml"])
def test_table_file_round_trip(kind: str) -> None:
    assert _table_file.parse(_table_file.serialize(ROWS, kind), kind) == ROWS


@pytest.mark.parametrize(
    ("text", "kind"),
    [("name,weight\nrusso,heavy\n", "csv"), ("- {weight: 1}", "yaml")],
)
def test_invalid_table_is_usage_error(text: str, kind: str) -> None:
    with pytest.raises(_client.CallFailed) as caught:
        _table_file.parse(text, kind)
    assert caught.value.exit_code is _client.ExitCode.USAGE


def test_changed_rows_are_only_those_that_differ() -> None:
    """Writing unchanged rows would conflict with concurrent edits."""
    after = [ROWS[0], configuration.Organisation("derwent", 7.0, revision=4)]
    assert _table_file.changed_rows(ROWS, after) == [after[1]]


class Entry:
    """A fake entry that serves the organisation routes for operators."""

    def __init__(self) -> None:
        self.put: dict[str, operators.OrganisationInput] = {}
        self.url = ""
        self._started = threading.Event()
        self._ended = threading.Event()
        self._thread = threading.Thread(
            target=lambda: asyncio.run(self._serve())
        )

    def __enter__(self) -> "Entry":
        self._thread.start()
        self._started.wait()
        return self

    def __exit__(self, *_: object) -> None:
        self._ended.set()
        self._thread.join()

    async def _serve(self) -> None:
        app = web.Application()
        path = "/operator/v1/organisations"
        app.router.add_get(path, self._list)
        app.router.add_put(path + "/{name}", self._set)
        runner = web.AppRunner(app)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        self.url = f"http://127.0.0.1:{runner.addresses[0][1]}"
        self._started.set()
        await asyncio.to_thread(self._ended.wait)
        await runner.cleanup()

    async def _list(self, request: web.Request) -> web.Response:
        body = operators.OrganisationList(4, ROWS)
        return web.Response(body=msgspec.json.encode(body))

    async def _set(self, request: web.Request) -> web.Response:
        given = msgspec.json.decode(
            await request.read(), type=operators.OrganisationInput
        )
        name = request.match_info["name"]
        if name == "derwent":
            error = {"code": "revision_conflict", "message": "7 and 9"}
            body = msgspec.json.encode({"error": {**error, "executed": "no"}})
            return web.Response(status=409, body=body)
        self.put[name] = given
        return web.Response(body=msgspec.json.encode(operators.Committed(5)))


@pytest.fixture
def entry() -> collections.abc.Iterator[Entry]:
    with Entry() as started:
        yield started


@pytest.fixture
def run(
    monkeypatch: pytest.MonkeyPatch,
) -> collections.abc.Callable[..., int]:
    monkeypatch.setenv("BILBERRYDEAL_OPERATOR_KEY", "key")

    def run_command(*words: str) -> int:
        monkeypatch.setattr("sys.argv", ["bilberrydeal", *words])
        return int(_main.main())

    return run_command


def test_set_keeps_fields_that_are_not_given(
    entry: Entry, run: collections.abc.Callable[..., int]
) -> None:
    """Defaults must not overwrite stored fields of the organisation."""
    assert run("orgs", "set", "russo", "--weight=5", "--url", entry.url) == 0
    assert entry.put["russo"] == operators.OrganisationInput(
        expected_revision=3, weight=5.0
    )


def test_import_sets_other_rows_and_reports_conflict(
    entry: Entry,
    run: collections.abc.Callable[..., int],
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """A conflict on one row must neither stop the import nor exit with 0."""
    table_file = tmp_path / "orgs.csv"
    text = _table_file.serialize(ROWS, "csv").replace("9.5", "8.5")
    table_file.write_text(text.replace("2.0", "4.0"))
    code = run("orgs", "import", str(table_file), "--url", entry.url)
    assert code == _client.ExitCode.CONFLICT
    assert entry.put["russo"].weight == 4.0
    assert "7 and 9" in capsys.readouterr().out


@pytest.mark.parametrize(
    ("words", "code"),
    [
        (["status", "--url", "http://127.0.0.1:1"], 4),
        (["orgs", "set"], 2),
        (["nonsense"], 2),
    ],
)
def test_exit_codes(
    run: collections.abc.Callable[..., int], words: list[str], code: int
) -> None:
    assert run(*words) == code


def test_missing_key_is_usage_error(
    monkeypatch: pytest.MonkeyPatch, run: collections.abc.Callable[..., int]
) -> None:
    monkeypatch.delenv("BILBERRYDEAL_OPERATOR_KEY")
    assert run("status") == _client.ExitCode.USAGE
