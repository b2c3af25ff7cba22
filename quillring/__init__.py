"""quillring: a serving tier with a batch interface that acts together under failure."""

__version__ = "0.1.0"
