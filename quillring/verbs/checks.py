"""The verb that checks an operator's files before any process reads them."""

import sys

import click

from quillring.kernel.checks import parse_json
from quillring.kernel.errors import BadSetting
from quillring.kernel.settings import read_settings
from quillring.rollout.configuration_versions import cross_faults
from quillring.rollout.schema import EMPTY, find_faults

FAULTY = 2
COUNTED = ("classes", "services", "entries", "domains", "forwards")
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
def check_settings(path, layout_path):
    """Check a settings file; every fault is told, and the exit code is 2 if there is one."""
    if path is None and layout_path is None:
        raise click.UsageError("name a settings file, a layout file with --layout, or both")
    checks = ((path, settings_report), (layout_path, configuration_report))
    reports = [(name, *check(name)) for name, check in checks if name is not None]
    for name, summary, faults in reports:
        for fault in faults:
            click.echo(f"{name}: {fault}", err=True)
        if not faults:
            click.echo(f"{name}: {summary}: no fault")
    if any(faults for _, _, faults in reports):
        sys.exit(FAULTY)


def settings_report(path):
    """Return (summary, faults) of a settings file."""
    summary, faults = "", []
    try:
        settings = read_settings(path, {})
        host, port = settings.address
        summary = f"{settings.role} {settings.name} in {settings.zone} at {host}:{port}"
    except* BadSetting as group:
        faults = [error.detail["fault"] for error in group.exceptions]
    return summary, faults


def configuration_report(path):
    """Return (summary, faults) of a layout file; an edition may leave the other sections out."""
    try:
        with open(path, encoding="utf-8") as configuration_file:
            configuration = parse_json(configuration_file.read())
    except (OSError, ValueError) as error:
        return "", [f"layout: {error}"]
    if isinstance(configuration, dict) and any(name in configuration for name in OPERATOR_SECTIONS):
        configuration = {**EMPTY, "forwards": {}, **configuration}
    faults = find_faults(configuration)
    if not faults and "forwards" in configuration:
        faults = cross_faults(configuration)
    if faults:
        return "", [f"{fault.field}: {fault.reason}" for fault in faults]
    return ", ".join(f"{len(configuration.get(name, {}))} {name}" for name in COUNTED), []
