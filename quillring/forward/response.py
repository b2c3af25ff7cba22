"""The body of a replica's answer on its way to the client: whole, or event by event."""

from quillring.forward.events import EventReader
from quillring.forward.request import answer_pairs
from quillring.forward.retry import PATIENCE_SHARE, may_go_on
from quillring.kernel.effects import Emit, NextPart
from quillring.kernel.errors import BackendError

LONG_PATIENCE_SHARE = 4
AFTER_END = 0.05


def read_whole(node, progress, handle):
    """Coroutine: read the whole body; returns (status, header pairs, body)."""
    parts = []
    while True:
        part = yield NextPart(handle, progress.end_time - node.now() + AFTER_END)
        if part is None:
            return handle.status, answer_pairs(handle.headers), b"".join(parts)
        parts.append(part)


def relay_events(node, forward, progress, handle, lease):
    """Coroutine: pass whole events on as they come, until the stream's proper end."""
    reader = EventReader(progress.last_event)
    while True:
        data = yield from next_part(node, forward, progress, handle, lease)
        if data is None:
            break
        lease.heard()
        events = reader.feed(data)
        if events:
            yield from emit_stream(progress, handle, b"".join(event.raw for event in events))
        if reader.last_event is not None:
            progress.last_event = reader.last_event
    if not reader.is_clean:
        raise BackendError(reason="cut event")
    if reader.rest or not progress.has_head:
        yield from emit_stream(progress, handle, reader.rest)


def emit_stream(progress, handle, data):
    """Coroutine: emit bytes of a stream, the first ones together with its head."""
    if progress.has_head:
        yield Emit(data)
        return
    progress.has_head = True
    yield Emit((handle.status, answer_pairs(handle.headers), data))


def next_part(node, forward, progress, handle, lease):
    """Coroutine: wait for bytes; a silent replica is left while another may go on in time."""
    patience = forward.pause_seconds * PATIENCE_SHARE
    while True:
        seconds_left = progress.end_time - node.now() + AFTER_END
        if not may_go_on(node, forward, progress):
            return (yield NextPart(handle, seconds_left))
        try:
            return (yield NextPart(handle, min(patience, seconds_left)))
        except BackendError as error:
            is_over = node.now() >= progress.end_time
            is_long = patience >= forward.pause_seconds * LONG_PATIENCE_SHARE
            if error.detail["reason"] != "stall" or is_over or is_long:
                raise
            if node.find("placement").is_silent(lease.replica, patience):
                raise
            patience = forward.pause_seconds * LONG_PATIENCE_SHARE
