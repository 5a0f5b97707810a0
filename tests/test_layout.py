"""Checks that imports between packages follow their layers."""

import ast
from pathlib import Path

import pytest

SOURCE = Path(__file__).parents[1] / "src" / "figpick"

# Packages that each package of the two-node call path may import.
ALLOWED_IMPORTS = {
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


@pytest.mark.parametrize("package", ALLOWED_IMPORTS)
def test_package_imports_only_allowed_packages(package):
    """Guards against decision logic that can be tested only with a network."""
    assert set(imported_packages(package)) <= ALLOWED_IMPORTS[package]


@pytest.mark.parametrize("name", PLATFORM_NAMES)
def test_platform_names_do_not_occur_in_the_package(name):
    for path in SOURCE.rglob("*.py"):
        assert name not in path.read_text(), path
