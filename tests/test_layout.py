"""Imports between the packages go one way."""

import ast
from pathlib import Path

import pytest

SOURCE = Path(__file__).parents[1] / "src" / "figpick"

# What each package of the path over two nodes may use.
ALLOWED = {
    "links": {"base"},
    "wire": {"base"},
    "admission": set(),
    "placing": set(),
    "configuration": {"base"},
    "directory": {"base"},
    "nodes": {
        "base",
        "links",
        "wire",
        "admission",
        "placing",
        "configuration",
        "directory",
        "control",
    },
    "control": {"base", "links", "configuration", "directory", "consensus"},
    "base": set(),
}

PLATFORM_NAMES = (
    "Attempt-Id",
    "Not-Run",
    "Server-Stamp",
    "baseVersion",
    "trafficSplit",
)


def imported_packages(package):
    for path in (SOURCE / package).glob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ImportFrom) and node.level == 2 and node.module:
                yield node.module.split(".")[0]


@pytest.mark.parametrize("package", ALLOWED)
def test_package_uses_only_those_below_it(package):
    """Guards against decisions that can be tested only with a network."""
    assert set(imported_packages(package)) <= ALLOWED[package]


@pytest.mark.parametrize("name", PLATFORM_NAMES)
def test_names_of_the_platform_stay_in_its_folder(name):
    for path in SOURCE.rglob("*.py"):
        assert name not in path.read_text(), path
