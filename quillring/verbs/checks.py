"""The subcommand that validates settings and configuration files before use."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

import click

from quillring.kernel.checks import parse_json
from quillring.kernel.errors import BadSetting
from quillring.kernel.records import NamedTuple
from quillring.kernel.settings import read_settings
from quillring.rollout.configuration_versions import cross_item_faults
from quillring.rollout.schema import EMPTY_CONFIGURATION, find_faults

if TYPE_CHECKING:
    from collections.abc import Sequence

EXIT_INVALID = 2
SUMMARY_SECTIONS = ("classes", "services", "entries", "domains", "forwards")
OPERATOR_SECTIONS = ("edition", "forwards")


@click.command("check-settings")
@click.argument("path", required=False, type=click.Path())
@click.option(
    "--layout",
    "layout_path",
    metavar="FILE",
    type=click.Path(),
    help="Also check a layout file: a complete layout or an edition.",
)
def check_settings(path: str | None, layout_path: str | None) -> None:
    """Check a settings file and print every fault; the exit code is 2 if there are any."""
    if path is None and layout_path is None:
        raise click.UsageError("give a settings file, a layout file with --layout, or both")
    checks = ((path, settings_report), (layout_path, configuration_report))
    reports = [check(path) for path, check in checks if path is not None]
    for report in reports:
        for fault in report.faults:
            click.echo(f"{report.path}: {fault}", err=True)
        if not report.faults:
            click.echo(f"{report.path}: {report.summary}: no fault")
    if any(report.faults for report in reports):
        sys.exit(EXIT_INVALID)


class FileReport(NamedTuple):
    """The outcome of a check: a one-line summary of the file, and its faults."""

    path: str
    summary: str
    faults: Sequence[str]


def settings_report(path: str) -> FileReport:
    """Check a settings file and return the report."""
    summary: str = ""
    faults: list[str] = []
    try:
        settings = read_settings(path, {})
        host, port = settings.address
        summary = f"{settings.role} {settings.name} in {settings.zone} at {host}:{port}"
    except* BadSetting as group:
        faults = [e.detail["fault"] for e in group.exceptions if isinstance(e, BadSetting)]
    return FileReport(path, summary, faults)


def configuration_report(path: str) -> FileReport:
    """Check a configuration file and return the report.

    A file with a section of OPERATOR_SECTIONS is an edition and may lack other sections.
    """
    try:
        with open(path, encoding="utf-8") as configuration_file:
            configuration = parse_json(configuration_file.read())
    except (OSError, ValueError) as error:
        return FileReport(path, "", [f"layout: {error}"])
    if isinstance(configuration, dict) and any(name in configuration for name in OPERATOR_SECTIONS):
        configuration = {**EMPTY_CONFIGURATION, "forwards": {}, **configuration}
    faults = find_faults(configuration)
    if not faults and "forwards" in configuration:
        faults = cross_item_faults(configuration)
    if faults:
        return FileReport(path, "", [f"{fault.field}: {fault.reason}" for fault in faults])
    counts = [f"{len(configuration.get(name, {}))} {name}" for name in SUMMARY_SECTIONS]
    return FileReport(path, ", ".join(counts), [])
