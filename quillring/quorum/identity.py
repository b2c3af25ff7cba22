"""A store's identity: new with each empty disk, so that no store votes for its former self."""

from quillring.kernel.errors import QuillringError


class WrongIdentity(QuillringError):
    """The store is not the member that the group names."""

    kind = "wrong_identity"
    status = 409
