"""Formats replies as text: lists of objects as tables, other fields as lines."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Sequence


def format_reply(answer: dict[str, Any]) -> str:
    """Return a reply as text for operators."""
    lines: list[str] = []
    for name, value in answer.items():
        if isinstance(value, list) and value and all(isinstance(row, dict) for row in value):
            lines.extend(format_table(value))
        elif isinstance(value, dict):
            lines.append(f"{name}:")
            lines.extend(f"  {n}: {format_value(v)}" for n, v in value.items())
        else:
            lines.append(f"{name}: {format_value(value)}")
    return "\n".join(lines)


def format_table(rows: Sequence[dict[str, Any]]) -> list[str]:
    """Return the lines of an aligned table."""
    columns = list(rows[0])
    cells = [columns, *([format_value(row.get(column)) for column in columns] for row in rows)]
    widths = [max(len(row[i]) for row in cells) for i in range(len(columns))]
    return [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in cells
    ]


def format_value(value: Any) -> str:
    """Return the text of one value: "-" for None, JSON unless it is a string."""
    if value is None:
        return "-"
    return value if isinstance(value, str) else json.dumps(value)
