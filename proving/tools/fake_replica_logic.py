"""The behaviour of fake replicas without a network, shared by processes and the simulator."""

import hashlib
from collections import OrderedDict

WORDS = ("gate", "left", "past", "lift", "stairs", "north", "hall", "desk", "price", "seat")


def piece_text(prompt, number):
    """Return piece `number` (from 1) of the answer to a prompt; it depends on nothing else."""
    digest = hashlib.sha256(f"{prompt}\0{number}".encode()).digest()
    return f"{WORDS[digest[0] % len(WORDS)]}-{digest[1]:02x} "


def piece_count(prompt, max_pieces):
    """Return the number of pieces in the answer to a prompt."""
    if max_pieces >= 100:
        return max_pieces - hashlib.sha256(prompt.encode()).digest()[0] % 30
    return min(max_pieces, 3 + hashlib.sha256(prompt.encode()).digest()[0] % 30)


def seat_confirmation(key, seat):
    """Return the confirmation of a seat booked with an idempotency key."""
    return hashlib.sha256(f"{key}\0{seat}".encode()).hexdigest()[:12]


def tile_content(path):
    """Return the content of the tile at a path."""
    return hashlib.sha256(path.encode()).hexdigest()[:24]


class FakeReplica:
    """A replica's slots, warm-up, prefix cache, and a record of the requests that it ran."""

    def __init__(self, name, slots, warm_seconds, now, cache_capacity=8):
        self.name = name
        self.slots = slots
        self.warm_seconds = warm_seconds
        self.started_at = now
        self.incarnation = 0
        self.cache = OrderedDict()
        self.cache_capacity = cache_capacity
        self.busy = 0
        self.state = "cold"
        self.ran = []
        self.hits = 0
        self.misses = 0
        self.overloads = 0
        self.late_starts = 0
        self.leaving_since = None

    def update_concurrency_limit(self, now):
        """Return how many requests may run at once, fewer during warm-up; update the state."""
        age = now - self.started_at
        if age >= self.warm_seconds:
            if self.state == "cold":
                self.state = "ready"
            return self.slots
        return max(1, int(self.slots * age / self.warm_seconds))

    def begin(self, request_name, prefix, now):
        """Start a request; return the seconds of its prefill, or None if no slot is free."""
        if self.leaving_since is not None and now - self.leaving_since > 2.0:
            self.late_starts += 1
        if self.busy >= self.slots:
            return None
        if self.busy >= self.update_concurrency_limit(now):
            self.overloads += 1
            return None
        self.busy += 1
        self.ran.append((now, request_name))
        is_hit = prefix in self.cache
        self.hits, self.misses = self.hits + is_hit, self.misses + (not is_hit)
        self.cache[prefix] = True
        self.cache.move_to_end(prefix)
        while len(self.cache) > self.cache_capacity:
            self.cache.popitem(last=False)
        return 0.005 if is_hit else 0.06

    def finish(self):
        """Free the slot of one request."""
        self.busy -= 1

    def leave(self, now):
        """Enter the state `leaving`; requests that start over two seconds later count as late."""
        self.state = "leaving"
        self.leaving_since = now

    def heartbeat_body(self, service, zone, address, sequence):
        """Return the body of a heartbeat."""
        return {
            "name": self.name,
            "service": service,
            "domain": zone,
            "address": address,
            "slots": self.slots,
            "busy": self.busy,
            "state": self.state,
            "incarnation": self.incarnation,
            "sequence": sequence,
        }
