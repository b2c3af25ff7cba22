"""The subcommand that validates settings and configuration files before they are used."""

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

EXIT_FAULTY = 2
SUMMARY_SECTIONS = ("classes", "services", "entries", "domains", "forwards")
OPERATOR_SECTIONS = ("edition", "forwards")


@click.command("check-settings")
@click.argument("path", required=False, type=click.Path())
@click.option(
    "--layout",
    "layout_path",
    metavar="FILE",
    type=click.Path(),
    help="Check a whole layout or an edition of it, too.",
)
def check_settings(path: str | None, layout_path: str | None) -> None:
    """Check a settings file; every fault is told, and the exit code is 2 if there is one."""
    if path is None and layout_path is None:
        raise click.UsageError("name a settings file, a layout file with --layout, or both")
    checks = ((path, settings_report), (layout_path, configuration_report))
    reports = [check(path) for path, check in checks if path is not None]
    for report in reports:
        for fault in report.faults:
            click.echo(f"{report.path}: {fault}", err=True)
        if not report.faults:
            click.echo(f"{report.path}: {report.summary}: no fault")
    if any(report.faults for report in reports):
        sys.exit(EXIT_FAULTY)


class FileReport(NamedTuple):
    """A short summary of a file, and its faults."""

    path: str
    summary: str
    faults: Sequence[str]


def settings_report(path: str) -> FileReport:
    """Return the report on a settings file."""
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
    """Return the report on a configuration file; a partial one may lack sections."""
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
