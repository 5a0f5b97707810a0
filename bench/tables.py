"""Writes ``docs/measurements.md`` from the files in ``bench/results/``."""

from pathlib import Path

import msgspec

from bench.__main__ import EXPERIMENTS, RESULTS_FOLDER

PAGE = Path(__file__).parent.parent / "docs" / "measurements.md"
HEADER = """# Measurements

This page is made by `python -m bench.tables` from `bench/results/*.jsonl`. Each row
is one case of an experiment on one machine with 12 cores, processes on loopback.
*Baseline* is the same run with the decisions switched off; *earlier* is the figure
of the run before.
"""
COLUMN_TITLES = "| case | seed | baseline | earlier | figure | bound | unit | holds |"
SEPARATOR = "| --- | --- | --- | --- | --- | --- | --- | --- |"


def render_page():
    """Returns the text of the page."""
    parts = [HEADER]
    for name in EXPERIMENTS:
        path = RESULTS_FOLDER / f"{name}.jsonl"
        if path.exists():
            parts.append(_render_section(name, path))
        else:
            parts.append(f"## {name}\n\nNot run.\n")
    return "\n".join(parts)


def _render_section(name, path):
    records = [msgspec.json.decode(line) for line in path.read_bytes().splitlines()]
    lines = [f"## {name}", ""]
    if not records:
        return "\n".join([*lines, "No rows.", ""])
    lines += [
        f"`{records[0]['command']}`, {records[0]['date']}",
        "",
        COLUMN_TITLES,
        SEPARATOR,
    ]
    lines += [_render_row(record) for record in records]
    return "\n".join([*lines, ""])


def _render_row(record):
    relation = "≤" if record["at_most"] else "≥"
    bound = "" if record["bound"] is None else f"{relation} {record['bound']:g}"
    cells = [
        record["case"],
        str(record["seed"]),
        _format_figure(record["baseline"]),
        _format_figure(record.get("earlier")),
        _format_figure(record["figpick"]),
        bound,
        record["unit"],
        "yes" if record["holds"] else "**no**",
    ]
    return "| " + " | ".join(cells) + " |"


def _format_figure(value):
    return "" if value is None else f"{value:.4g}"


if __name__ == "__main__":
    PAGE.write_text(render_page())
