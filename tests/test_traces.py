"""Traces can be made again from their seeds and read back."""

from pathlib import Path

import pytest

from bench import traces


@pytest.mark.parametrize(
    "made", list(traces.all_traces()), ids=lambda t: t.head["trace"]
)
def test_stored_trace_equals_the_one_made_from_its_seed(made):
    """Guards against a stored trace that no longer matches its generator."""
    stored = traces.load(Path(traces.FOLDER) / f"{made.head['trace']}.jsonl")

    assert stored == made
