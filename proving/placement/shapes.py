"""Shapes of deployments for the emulator, read from TOML files."""

import tomllib
from pathlib import Path
from typing import NamedTuple

FOLDER = Path(__file__).parent / "shapes"


class Sizes(NamedTuple):
    """A log-normal distribution of sizes: mean, sigma of the logarithm, and the largest size."""

    mean: float
    spread: float
    largest: float

    def draw(self, random):
        """Return a size of at least 1."""
        mu = self.spread**2 / 2
        size = self.mean * random.lognormvariate(-mu, self.spread)
        return max(1, int(min(self.largest, size)))


class TrafficClass(NamedTuple):
    """One kind of request.

    Parameters
    ----------
    shared_prefixes
        Number of distinct prefixes; 0 for requests that share nothing.
    is_batch
        Items of batch jobs, sent by the cores, without a latency goal.
    """

    name: str
    requests_per_second: float
    goal_seconds: float
    body_bytes: int
    shared_prefixes: int
    shared_tokens: Sizes
    own_tokens: Sizes
    output_tokens: Sizes
    is_batch: bool = False


class EngineShape(NamedTuple):
    """How a replica works; see `proving.placement.engine`."""

    slots: int
    kv_tokens: int
    step_seconds: float
    prompt_tokens_per_second: float
    quadratic_seconds_per_million: float
    chunk_tokens: int
    speeds: tuple


class Fault(NamedTuple):
    """A fault: replicas `crash` or turn `slow`, edges are lost (`edge_loss`), or a `burst`."""

    kind: str
    at: float
    seconds: float
    share: float = 0.0
    factor: float = 1.0


class Shape(NamedTuple):
    """A deployment and its traffic."""

    name: str
    zones: int
    edges_per_zone: int
    cores_per_zone: int
    replicas_per_zone: int
    seconds: float
    zone_seconds: float
    engine: EngineShape
    classes: tuple
    faults: tuple


def load_shape(name):
    """Return the shape of a name; raises FileNotFoundError or KeyError for a bad one."""
    fields = tomllib.loads((FOLDER / f"{name}.toml").read_text())
    engine = EngineShape(**{**fields["engine"], "speeds": tuple(fields["engine"]["speeds"])})
    classes = tuple(_traffic_class(row) for row in fields["classes"])
    faults = tuple(Fault(**row) for row in fields.get("faults", ()))
    rest = {k: v for k, v in fields.items() if k not in ("engine", "classes", "faults")}
    return Shape(name=name, engine=engine, classes=classes, faults=faults, **rest)


def _traffic_class(row):
    sizes = {name: Sizes(*row[name]) for name in ("shared_tokens", "own_tokens", "output_tokens")}
    return TrafficClass(**{**row, **sizes})


def shape_names():
    """Return the names of all shapes."""
    return sorted(path.stem for path in FOLDER.glob("*.toml"))
