"""A store's identity: new with each empty disk, so that a wiped store can't vote as before."""

from quillring.kernel.errors import QuillringError


class WrongIdentity(QuillringError):
    """The call names another identity than the store has: its disk was emptied and it is new."""

    kind = "wrong_identity"
    status = 409
