"""`python -m proving.drawn_days SITE ...`: write randomly drawn days for a site file."""

import random
import tomllib
from pathlib import Path

import click
import tomli_w

from proving.drawn.draw import draw_day

REQUIRED_FIELDS = ("name", "length_s", "traffic", "day")
MAX_DAYS = 1000


def read_site(path):
    """Return the content of a site file; raises click.BadParameter if it is invalid."""
    try:
        site = tomllib.loads(Path(path).read_text())
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise click.BadParameter(f"{path}: {error}", param_hint="SITE") from error
    missing = [field for field in REQUIRED_FIELDS if not site.get(field)]
    if missing:
        raise click.BadParameter(f"{path}: no {', '.join(missing)}", param_hint="SITE")
    return site


@click.command()
@click.argument("site_path", metavar="SITE", type=click.Path(dir_okay=False))
@click.option("--first", type=click.IntRange(min=0), default=1, help="First seed.")
@click.option("--count", type=click.IntRange(1, MAX_DAYS), default=10, help="Number of days.")
@click.option("--output", type=click.Path(file_okay=False), required=True, help="Folder.")
def main(site_path, first, count, output):
    """Draw days with a mix of every kind of fault, write one file per day, and print the paths."""
    site = read_site(site_path)
    folder = Path(output)
    folder.mkdir(parents=True, exist_ok=True)
    for seed in range(first, first + count):
        name = f"drawn-{seed}"
        day = draw_day(random.Random(f"{site['name']}-{seed}"), site, name, seed)
        path = folder / f"{site['name']}-{seed}.toml"
        path.write_text(tomli_w.dumps({"day": [day]}))
        click.echo(path)


if __name__ == "__main__":
    main()
