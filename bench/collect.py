"""Builds a trace from spans that nodes have recorded.

Run as ``python -m bench.collect DEPLOYMENT OUTPUT SPANS...``.
"""

import sys

import msgspec

from bench import traces

MIN_SERVICE_MS = 0.1


def collect(lines, deployment):
    """Joins spans into root requests with their call trees.

    :param lines: JSON lines of :class:`~figpick.calls._recorder.Span`.
    :param deployment: name of the deployment in which the trace can be replayed.
    :return: :class:`~bench.traces.Trace` without expected outcomes.
    """
    spans = [msgspec.json.decode(line) for line in lines if line.strip()]
    spans_by_parent = {}
    for span in spans:
        spans_by_parent.setdefault(span["parent"], []).append(span)
    roots = sorted(spans_by_parent.get("", ()), key=lambda span: span["at_s"])
    trees = {}
    names = {}
    requests = []
    for root in roots:
        tree = _tree(root, spans_by_parent)
        # Requests with the same calls share the tree of the first one. Their durations
        # may differ.
        shape = msgspec.json.encode(_call_shape(tree["call"]))
        name = names.setdefault(shape, f"tree-{len(names) + 1}")
        trees.setdefault(name, tree)
        at_s = round(root["at_s"] - roots[0]["at_s"], 4)
        requests.append({"at_s": at_s, "caller": root["caller"], "tree": name})
    head = traces.make_head(deployment, "recorded", {})
    head["trees"] = trees
    head["duration_s"] = requests[-1]["at_s"] + 1 if requests else 0.0
    return traces.Trace(head, requests)


def _tree(root, spans_by_parent):
    return {
        "importance": root["importance"],
        "idempotent": root["idempotent"],
        "call": _call(root, spans_by_parent),
    }


def _call(span, spans_by_parent):
    calls = sorted(
        spans_by_parent.get(span["execution"], ()), key=lambda item: item["at_s"]
    )
    nested_ms = sum(call["latency_ms"] for call in calls)
    return {
        "service": span["service"],
        "method": span["method"],
        "path": span["path"],
        "service_ms": max(MIN_SERVICE_MS, round(span["latency_ms"] - nested_ms, 1)),
        "size": span["answer_bytes"],
        "calls": [_call(call, spans_by_parent) for call in calls],
    }


def _call_shape(call):
    return {
        **{name: call[name] for name in ("service", "method", "path")},
        "calls": [_call_shape(nested_call) for nested_call in call["calls"]],
    }


def main(deployment, output, paths):
    """Writes a trace file from span files."""
    lines = []
    for path in paths:
        with open(path, "rb") as file:
            lines.extend(file)
    traces.save(collect(lines, deployment), output)


if __name__ == "__main__":
    main(sys.argv[1], sys.argv[2], sys.argv[3:])
