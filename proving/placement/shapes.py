"""Descriptions of deployments and traffic for the emulator, read from TOML files."""

import tomllib
from pathlib import Path
from typing import NamedTuple

SHAPES_FOLDER = Path(__file__).parent / "shapes"


class Sizes(NamedTuple):
    """A log-normal size distribution: mean, standard deviation of the logarithm, and maximum."""

    mean: float
    sigma: float
    maximum: float

    def draw(self, random):
        """Return a random size between 1 and the maximum."""
        mu = self.sigma**2 / 2
        size = self.mean * random.lognormvariate(-mu, self.sigma)
        return max(1, int(min(self.maximum, size)))


class TrafficClass(NamedTuple):
    """One class of requests.

    Parameters
    ----------
    shared_prefixes
        Number of distinct prompt prefixes; 0 if requests share no prefix.
    is_batch
        Whether these are items of batch jobs, sent by cores and without a goal for gaps.
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
    """Parameters of the replicas' engines; see `proving.placement.engine`.

    Parameters
    ----------
    quadratic_seconds_per_million
        Seconds for a million pairs of prompt tokens: the quadratic cost of attention.
    speeds
        Factors on the step time, assigned to the replicas of a zone in turn; 1.3 is slower.
    """

    slots: int
    kv_tokens: int
    step_seconds: float
    prompt_tokens_per_second: float
    quadratic_seconds_per_million: float
    chunk_tokens: int
    speeds: tuple


class Fault(NamedTuple):
    """A fault from `at` for `seconds`.

    Its kind is `crash` or `slow` (a share of the replicas), `edge_loss` (a share of the edges) or
    `burst` (the request rate). `factor` slows replicas or increases the rate.
    """

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
    """Load a shape; raises FileNotFoundError for an unknown name, KeyError for a missing field."""
    fields = tomllib.loads((SHAPES_FOLDER / f"{name}.toml").read_text())
    engine = EngineShape(**{**fields["engine"], "speeds": tuple(fields["engine"]["speeds"])})
    classes = tuple(_traffic_class(row) for row in fields["classes"])
    faults = tuple(Fault(**row) for row in fields.get("faults", ()))
    other_fields = {k: v for k, v in fields.items() if k not in ("engine", "classes", "faults")}
    return Shape(name=name, engine=engine, classes=classes, faults=faults, **other_fields)


def _traffic_class(row):
    sizes = {name: Sizes(*row[name]) for name in ("shared_tokens", "own_tokens", "output_tokens")}
    return TrafficClass(**{**row, **sizes})


def shape_names():
    """Return the names of all shapes."""
    return sorted(path.stem for path in SHAPES_FOLDER.glob("*.toml"))
