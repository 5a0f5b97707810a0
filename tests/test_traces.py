"""Tests that stored traces can be generated again from their seeds."""

from pathlib import Path

import pytest

from bench import traces


@pytest.mark.parametrize(
    "generated", list(traces.all_traces()), ids=lambda t: t.head["trace"]
)
def test_stored_trace_equals_the_one_made_from_its_seed(generated):
    """Guards against a stored trace that no longer matches its generator."""
    stored = traces.load(Path(traces.FOLDER) / f"{generated.head['trace']}.jsonl")

    assert stored == generated
