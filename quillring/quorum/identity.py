"""Store identities: an emptied disk gets a new one, so the store cannot vote under the old one."""

from quillring.kernel.errors import QuillringError


class WrongIdentity(QuillringError):
    """The call is addressed to another identity; the store's disk was emptied in the meantime."""

    kind = "wrong_identity"
    status = 409
