"""quillring: a distributed serving tier with a batch interface that tolerates failures."""

__version__ = "0.1.0"
