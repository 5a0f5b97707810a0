"""Documents, change results and rosters in the replicated state."""

import pytest

from bench.schedules import make_document
from figpick.base._errors import ConflictError, InvalidDocumentError
from figpick.registry._registry import Registry


def command(change, base, service="parts"):
    document = make_document(service, 1)
    fields = {"document": document, "base": base, "change": change}
    return {"command": "put", "author": "ada", "time": 1.0, **fields}


def roster(epoch):
    fields = {"service": "parts", "epoch": epoch, "positions": ["n1", "n2"]}
    return {"command": "roster", **fields, "changed": 5.0}


def test_results_survive_snapshots_and_later_changes():
    """Guards against applying a retried change again after a log compaction."""
    registry = Registry()
    results = {}
    version = 0
    for index in range(3, 403):
        result = registry.apply(command(f"c{index}", version), index)
        results[f"c{index}"] = result
        version = result["version"]
        if index % 100 == 0:
            later = Registry()
            later.restore(registry.encode())
            assert later.encode() == registry.encode()
            registry = later
    for change, result in results.items():
        assert registry.find_result(change) == result
        assert registry.apply(command(change, 0), 1000) == result
    assert registry.versions == {"parts": version}


def test_one_of_two_changes_with_equal_bases_is_accepted():
    """Guards against a change that silently overwrites another one."""
    registry = Registry()
    registry.apply(command("a", 0), 3)
    refused = registry.apply(command("b", 0), 4)
    assert isinstance(refused, ConflictError)
    assert refused.current["version"] == 3
    with pytest.raises(ConflictError):
        registry.find_result("b")
    assert [each["change"] for each in registry.history("parts")] == ["a"]


@pytest.mark.parametrize(
    "change",
    [
        {"base": -1},
        {"change": ""},
        {"change": None},
        {"document": {"service": "parts", "routes": [{"method": "GOT"}]}},
        {"document": {**make_document("parts", 1), "surplus": 1}},
        {"document": make_document("parts", 10)},
    ],
)
def test_bad_input_is_refused_before_it_enters_the_log(change):
    """Guards against log entries that no process can apply."""
    with pytest.raises(InvalidDocumentError):
        Registry().check({**command("a", 0), **change})


def test_roster_needs_the_next_epoch():
    """Guards against two rosters with the same epoch."""
    registry = Registry()
    registry.apply(command("a", 0), 3)
    assert registry.apply(roster(1), 4)["epoch"] == 1
    for epoch in (1, 3):
        assert isinstance(registry.apply(roster(epoch), 5), ConflictError)
    assert registry.get("parts")["roster"]["changed"] == 5.0
    assert registry.epochs == {"parts": 1}
