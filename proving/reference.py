"""Writes docs/settings.md from the schemas; a test checks that it is up to date."""

from quillring.kernel.bounds import Bounds
from quillring.kernel.settings import SCHEMA as SETTINGS
from quillring.rollout.schema import SCHEMA as LAYOUT

BOUND_TEXTS = {
    "news": "news of layouts and departures; heartbeats and timeouts are ratios of it",
    "emptying": "an emptied domain gets nothing after it",
    "ending": "an ended lot stops within it",
    "reading": "a result can be read within it",
    "return_": "service returns after a closing fault",
}


def type_of(schema):
    """Return a short text of a schema's type."""
    if "enum" in schema:
        return ", ".join(f"`{value}`" for value in schema["enum"])
    limits = [
        f"{word} {schema[key]}" for key, word in (
            ("minimum", "from"), ("exclusiveMinimum", "over"), ("maximum", "to"))
        if key in schema]
    return " ".join([schema.get("type", ""), *limits])


def reference():
    """Return the text of the reference."""
    lines = ["# Settings and layout", "", "Made by `python -m proving.reference` from the schemas.",
             "", "## Settings of a process", "", "| field | type | needed | what |",
             "|---|---|---|---|"]
    for name, schema in SETTINGS["properties"].items():
        needed = "yes" if name in SETTINGS["required"] else ""
        lines.append(f"| `{name}` | {type_of(schema)} | {needed} | {schema['description']} |")
    lines += ["", "| bound | default | what |", "|---|---|---|"]
    for name, text in BOUND_TEXTS.items():
        lines.append(f"| `{name}` | {getattr(Bounds(), name)} s | {text} |")
    lines += ["", "## Layout", ""]
    for section, schema in LAYOUT["properties"].items():
        (row,) = schema["patternProperties"].values()
        lines += [f"`{section}`, by name:", "", "| field | type | needed |", "|---|---|---|"]
        lines += [
            f"| `{name}` | {type_of(field)} | {'yes' if name in row['required'] else ''} |"
            for name, field in row["properties"].items()]
        lines.append("")
    return "\n".join(lines)


if __name__ == "__main__":
    with open("docs/settings.md", "w", encoding="utf-8") as referenceFile:
        referenceFile.write(reference())
