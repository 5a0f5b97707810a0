"""Configurations with values of another type."""

import sys
from pathlib import Path

import pytest

from figpick.exceptions import InvalidDocumentError

from .test_platform_adapter import COLUMNS, document

sys.path.append(str(Path(__file__).parents[1] / "platform"))

from adapter import documents  # noqa: E402


@pytest.mark.parametrize(
    ("column", "value"),
    [
        ("host", 5),
        ("pathPrefix", 5),
        ("name", 5),
        ("service", 5),
        ("timeoutS", "inf"),
        ("targetLatencyS", "nan"),
        ("trafficSplit", [{"service": "s1", "weight": "nan"}]),
        ("priority", "x"),
    ],
)
def test_value_of_another_type_is_rejected(column, value):
    """Guards against an internal error in place of the refusal."""
    row = ["r-1", "h", "/a/", "idempotent", 0.8, 1.5, 2, None, 2, "s1"]
    row[COLUMNS.index(column)] = value
    with pytest.raises(InvalidDocumentError):
        documents.parse(document(routes={"columns": COLUMNS, "rows": [row]}))


@pytest.mark.parametrize("limits", [[], {"idleTimeoutS": "inf"}, {"maxBodyBytes": []}])
def test_limits_of_another_type_are_rejected(limits):
    with pytest.raises(InvalidDocumentError):
        documents.parse(document(limits=limits or [1]))
