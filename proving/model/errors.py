"""Typed errors of the model checker."""

from quillring.kernel.errors import QuillringError


class ModelError(QuillringError):
    """Base class of the errors of the model checker itself."""

    kind = "model"


class UnknownName(ModelError):
    """No world, bug or bound has this name."""

    kind = "model_unknown_name"


class BadTrace(ModelError):
    """The trace file can't be read or is malformed."""

    kind = "model_bad_trace"


class BrokenInvariant(ModelError):
    """A choice led to a state that breaks an invariant; `invariant` names it."""

    kind = "model_broken_invariant"
