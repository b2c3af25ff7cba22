"""Connections to a scripted replica without sockets or time, for property tests and scenarios."""

from itertools import pairwise

from quillring.kernel import connection_pool, http_client
from quillring.kernel.connection_pool import ConnectionPool, ReplicaConnection
from quillring.kernel.errors import BackendError

END, RESET = "end", "reset"


class FakeSocket:
    """What the replica puts into `arrived` is received piece by piece, cut at any place."""

    def __init__(self):
        self.written = []
        self.arrived = []
        self.is_closed = False

    def send(self, data):
        """Note what was written, all at once; ConnectionResetError on a broken connection."""
        if self.is_closed or RESET in self.arrived:
            raise ConnectionResetError
        self.written.append(bytes(data))
        return len(data)

    def recv(self, size):
        """Return the next piece; nothing there is a stall, the end is b"" or a reset."""
        if self.is_closed:
            raise OSError
        if not self.arrived:
            raise BackendError(reason="stall")
        if self.arrived[0] in (END, RESET):
            if self.arrived[0] == RESET:
                raise ConnectionResetError
            return b""
        return self.arrived.pop(0)

    def put(self, data, cuts=()):
        """Let bytes arrive, cut at the places given."""
        places = [0, *sorted({cut % (len(data) + 1) for cut in cuts}), len(data)]
        pieces = [data[a:b] for a, b in pairwise(places)]
        self.arrived.extend(piece for piece in pieces if piece)

    def close(self):
        """Close this side."""
        self.is_closed = True


class FakeWire:
    """Stands in for `connect` and the pool; `sockets` holds every connection made."""

    def __init__(self):
        self.sockets = []
        self.pool = ConnectionPool()
        self.old = {}

    def connect(self, address, seconds):
        """Return a new connection over a fake socket."""
        self.sockets.append(FakeSocket())
        return ReplicaConnection(tuple(address), self.sockets[-1])

    def start(self):
        """Take the place of the real connections."""
        self.old = {
            (http_client, "connect"): self.connect,
            (http_client, "POOL"): self.pool,
            (connection_pool, "is_readable"): lambda sock: bool(sock.arrived),
        }
        for (module, name), stand_in in list(self.old.items()):
            self.old[module, name] = getattr(module, name)
            setattr(module, name, stand_in)

    def stop(self):
        """Put the real ones back."""
        for (module, name), real in self.old.items():
            setattr(module, name, real)
