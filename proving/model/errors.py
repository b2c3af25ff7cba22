"""The typed errors of the model checker."""

from quillring.kernel.errors import QuillringError


class ModelError(QuillringError):
    """Base of all failures of the model checker itself."""

    kind = "model"


class UnknownName(ModelError):
    """There is no world, bug or bound of this name."""

    kind = "model_unknown_name"


class BadTrace(ModelError):
    """The trace file can't be read, or a choice in it can't be taken."""

    kind = "model_bad_trace"


class BrokenInvariant(ModelError):
    """A choice led to a state that must never be; `invariant` names the rule."""

    kind = "model_broken_invariant"
