"""Writes docs/settings.md from the schemas; a test checks that the page is up to date."""

from quillring.kernel.bounds import ATTRIBUTE_OF_SETTING, Bounds
from quillring.kernel.settings import SCHEMA as SETTINGS
from quillring.rollout.schema import SCHEMA as CONFIGURATION

BOUND_TEXTS = {
    "news": "news of layouts and departures; heartbeats and timeouts are ratios of it",
    "emptying": "an emptied domain gets nothing after it",
    "ending": "an ended lot stops within it",
    "reading": "a result can be read within it",
    "return_": "service returns after a closing fault",
    "sync": "a lost store is replaced in it; without it, after five times `return_`",
    "grace": "a planned stop is over in it; without it, after fifty times `return_`",
    "replica_beat": "the period of the replicas' beats",
}


def type_of(schema):
    """Return a short description of a schema's type and limits."""
    if "enum" in schema:
        return ", ".join(f"`{value}`" for value in schema["enum"])
    if "const" in schema:
        return f"`{schema['const']}`"
    limits = [
        f"{preposition} {schema[key]}"
        for key, preposition in (
            ("minimum", "from"),
            ("exclusiveMinimum", "over"),
            ("maximum", "to"),
        )
        if key in schema
    ]
    types = schema.get("type", "")
    return " ".join([types if isinstance(types, str) else " or ".join(types), *limits])


def rows_of(schema):
    """Return [(description, schema of an item)] of a section; empty if it is a single value."""
    item_schema = schema.get("additionalProperties")
    if "patternProperties" in schema:
        return [("by name", row) for row in schema["patternProperties"].values()]
    if "anyOf" in schema:
        return [("one for all", schema["anyOf"][0])]
    if isinstance(item_schema, dict) and "if" in item_schema:
        return [("by name", item_schema["else"]), ("by name, of kind `raw`", item_schema["then"])]
    return [("by name", item_schema)] if isinstance(item_schema, dict) else []


def reference():
    """Return the text of the page."""
    lines = [
        "# Settings and layout",
        "",
        "Made by `python -m proving.tools.reference` from the schemas.",
        "",
        "## Settings of a process",
        "",
        "| field | type | needed | what |",
        "|---|---|---|---|",
    ]
    for name, schema in SETTINGS["properties"].items():
        needed = "yes" if name in SETTINGS["required"] else ""
        lines.append(f"| `{name}` | {type_of(schema)} | {needed} | {schema['description']} |")
    lines += ["", "| bound | default | what |", "|---|---|---|"]
    for name, text in BOUND_TEXTS.items():
        default = getattr(Bounds(), ATTRIBUTE_OF_SETTING[name])
        lines.append(f"| `{name}` | {'none' if default is None else f'{default} s'} | {text} |")
    lines += ["", "## Layout", ""]
    for section, schema in CONFIGURATION["properties"].items():
        rows = rows_of(schema)
        if not rows:
            lines += [f"`{section}`: {type_of(schema)}", ""]
        for what, row in rows:
            lines += [f"`{section}`, {what}:", "", "| field | type | needed |", "|---|---|---|"]
            lines += [
                f"| `{name}` | {type_of(field)} | "
                f"{'yes' if name in row.get('required', ()) else ''} |"
                for name, field in row["properties"].items()
            ]
            lines.append("")
    return "\n".join(lines)


if __name__ == "__main__":
    with open("docs/settings.md", "w", encoding="utf-8") as reference_file:
        reference_file.write(reference())
