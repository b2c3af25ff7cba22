"""Write days of one's own over a site file: `python -m proving.drawn_days SITE ...`."""

import random
import tomllib
from pathlib import Path

import click
import tomli_w

from proving.drawn.draw import draw_day

NEEDED = ("name", "length_s", "traffic", "day")
MOST_DAYS = 1000


def read_site(path):
    """Return a site file's content; raises click.BadParameter when it is none."""
    try:
        site = tomllib.loads(Path(path).read_text())
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise click.BadParameter(f"{path}: {error}", param_hint="SITE") from error
    missing = [field for field in NEEDED if not site.get(field)]
    if missing:
        raise click.BadParameter(f"{path}: no {', '.join(missing)}", param_hint="SITE")
    return site


@click.command()
@click.argument("site_path", metavar="SITE", type=click.Path(dir_okay=False))
@click.option("--first", type=click.IntRange(min=0), default=1, help="First seed.")
@click.option("--count", type=click.IntRange(1, MOST_DAYS), default=10, help="How many days.")
@click.option("--output", type=click.Path(file_okay=False), required=True, help="Folder.")
def main(site_path, first, count, output):
    """Draw days that mix every kind of fault, one file a day, and print their paths."""
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
