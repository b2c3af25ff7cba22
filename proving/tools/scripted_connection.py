"""Fake connections to a replica, without sockets or time, for property tests and scenarios."""

from itertools import pairwise

from quillring.kernel import connection_pool, http_client
from quillring.kernel.connection_pool import ConnectionPool, ReplicaConnection
from quillring.kernel.errors import BackendError

END, RESET = "end", "reset"


class FakeSocket:
    """A fake socket: each `recv` returns the next piece of `incoming`, which the test fills."""

    def __init__(self):
        self.written = []
        self.incoming = []
        self.is_closed = False

    def send(self, data):
        """Record the data, all of which is sent; ConnectionResetError on a broken connection."""
        if self.is_closed or RESET in self.incoming:
            raise ConnectionResetError
        self.written.append(bytes(data))
        return len(data)

    def recv(self, size):
        """Return the next piece, or b"" at the end; ConnectionResetError on a reset.

        An empty `incoming` acts as a timeout: BackendError with the reason `stall`.
        """
        if self.is_closed:
            raise OSError
        if not self.incoming:
            raise BackendError(reason="stall")
        if self.incoming[0] in (END, RESET):
            if self.incoming[0] == RESET:
                raise ConnectionResetError
            return b""
        return self.incoming.pop(0)

    def put(self, data, cuts=()):
        """Add bytes to be received, split at the offsets `cuts` (modulo the length)."""
        offsets = [0, *sorted({cut % (len(data) + 1) for cut in cuts}), len(data)]
        pieces = [data[a:b] for a, b in pairwise(offsets)]
        self.incoming.extend(piece for piece in pieces if piece)

    def close(self):
        """Close the socket."""
        self.is_closed = True


class FakeConnections:
    """Replaces `connect` and the connection pool; `sockets` lists every socket that was opened."""

    def __init__(self):
        self.sockets = []
        self.pool = ConnectionPool()
        self.replaced = {}

    def connect(self, address, seconds):
        """Return a new connection over a fake socket."""
        self.sockets.append(FakeSocket())
        return ReplicaConnection(tuple(address), self.sockets[-1])

    def start(self):
        """Install the replacements in the modules that open connections."""
        self.replaced = {
            (http_client, "connect"): self.connect,
            (http_client, "POOL"): self.pool,
            (connection_pool, "is_readable"): lambda sock: bool(sock.incoming),
        }
        for (module, name), replacement in list(self.replaced.items()):
            self.replaced[module, name] = getattr(module, name)
            setattr(module, name, replacement)

    def stop(self):
        """Restore the originals."""
        for (module, name), real in self.replaced.items():
            setattr(module, name, real)
