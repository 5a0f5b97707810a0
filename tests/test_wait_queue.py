"""Tests that the wait queue is bounded and ordered by importance, then age."""

from hypothesis import given, strategies as st

from figpick.permits._wait_queue import WaitQueue


@given(st.lists(st.tuples(st.integers(0, 99), st.booleans())), st.integers(1, 10))
def test_queue_has_no_inversion(arrivals, length):
    """Guards against serving a less important or younger call first."""
    queue = WaitQueue(length)
    model = []
    for number, (tenths, removed) in enumerate(arrivals):
        entry = (-tenths / 10, number)
        dropped = queue.push(tenths / 10, entry, number)
        model.append(entry)
        if len(model) > length:
            assert dropped == max(model)
            model.remove(dropped)
        else:
            assert dropped is None
        if removed and entry in model:
            queue.remove(entry)
            model.remove(entry)
        assert len(queue) == len(model) == sum(queue.by_importance)
    assert [queue.pop() for _ in sorted(model)] == sorted(model)
    assert queue.pop() is None


def test_shorter_queue_keeps_the_calls_that_wait():
    """Guards against calls dropped when a document reduces the queue length."""
    queue = WaitQueue(5)
    for number in range(5):
        queue.push(3.0, number, number)
    queue.resize(2)
    assert len(queue) == 5
    assert queue.push(1.0, "new", 9) == "new"
    assert [queue.pop() for _ in range(5)] == [0, 1, 2, 3, 4]
