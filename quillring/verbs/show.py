"""Answers for human eyes: lists of objects as tables, the rest as lines."""

import json


def show_table(answer):
    """Return an answer as text."""
    lines = []
    for name, value in answer.items():
        if isinstance(value, list) and value and all(isinstance(row, dict) for row in value):
            lines.extend(table_lines(value))
        elif isinstance(value, dict):
            lines.append(f"{name}:")
            lines.extend(f"  {n}: {plain(v)}" for n, v in value.items())
        else:
            lines.append(f"{name}: {plain(value)}")
    return "\n".join(lines)


def table_lines(rows):
    """Return the lines of an aligned table."""
    columns = list(rows[0])
    cells = [columns, *([plain(row.get(column)) for column in columns] for row in rows)]
    widths = [max(len(row[i]) for row in cells) for i in range(len(columns))]
    return [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in cells
    ]


def plain(value):
    """Return a value as a short text."""
    if value is None:
        return "-"
    return value if isinstance(value, str) else json.dumps(value)
