"""Checks which modules may import which libraries.

Run as ``python -m scenarios.import_rules``; exits 1 with one line for each
violation.
"""

import ast
import collections.abc
import pathlib
import sys

import attrs

ROOT = pathlib.Path(__file__).parent.parent


@attrs.frozen
class Rule:
    """Modules under ``where`` must not import any of ``forbidden``."""

    #: Directory relative to the repository root.
    where: str
    #: Top-level module names.
    forbidden: frozenset[str]


RULES = (
    Rule(
        where="bilberrydeal/systems",
        forbidden=frozenset(
            [
                "aiohttp",
                "asyncio",
                "os",
                "pynng",
                "sanic",
                "socket",
                "subprocess",
                "threading",
                "time",
                "urllib",
                "uvloop",
            ]
        ),
    ),
    Rule(
        where="bilberrydeal",
        forbidden=frozenset(["multiprocessing", "standins", "subprocess"]),
    ),
    Rule(
        where="bilberrydeal/agent",
        forbidden=frozenset(["cyclopts", "sanic"]),
    ),
    Rule(
        where="bilberrydeal/link",
        forbidden=frozenset(["aiohttp", "cyclopts", "sanic"]),
    ),
)


def imported(tree: ast.AST) -> collections.abc.Iterator[str]:
    """Yield the top-level names that a module imports absolutely."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            for alias in node.names:
                yield alias.name.split(".")[0]
        elif isinstance(node, ast.ImportFrom) and node.level == 0:
            yield (node.module or "").split(".")[0]


def violations(rule: Rule) -> collections.abc.Iterator[str]:
    """Yield a line for each import that ``rule`` forbids."""
    for path in sorted((ROOT / rule.where).rglob("*.py")):
        if "tests" in path.parts:
            continue
        names = set(imported(ast.parse(path.read_text())))
        for name in sorted(names & rule.forbidden):
            yield f"{path.relative_to(ROOT)} imports {name}"


def main() -> int:
    """Print all violations and return the exit code."""
    found = [line for rule in RULES for line in violations(rule)]
    for line in found:
        print(line)
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
