"""What the stand-ins of back ends do, without any network: the simulator plays the same."""

import hashlib
from collections import OrderedDict

WORDS = ("gate", "left", "past", "lift", "stairs", "north", "hall", "desk", "price", "seat")


def piece_text(prompt, number):
    """Return piece `number` (from 1) of the only right answer to a prompt."""
    digest = hashlib.sha256(f"{prompt}\0{number}".encode()).digest()
    return f"{WORDS[digest[0] % len(WORDS)]}-{digest[1]:02x} "


def piece_count(prompt, max_pieces):
    """Return how many pieces the right answer has."""
    if max_pieces >= 100:
        return max_pieces - hashlib.sha256(prompt.encode()).digest()[0] % 30
    return min(max_pieces, 3 + hashlib.sha256(prompt.encode()).digest()[0] % 30)


def seat_word(key, seat):
    """Return the confirmation word of a seat under a key."""
    return hashlib.sha256(f"{key}\0{seat}".encode()).hexdigest()[:12]


def tile_word(path):
    """Return the only right content of a tile."""
    return hashlib.sha256(path.encode()).hexdigest()[:24]


class StandIn:
    """A replica's room, warmth, prefix cache and a record of what ran."""

    def __init__(self, name, slots, warm_seconds, now, cache_room=8):
        self.name = name
        self.slots = slots
        self.warm_seconds = warm_seconds
        self.born_at = now
        self.incarnation = 0
        self.cache = OrderedDict()
        self.cache_room = cache_room
        self.busy = 0
        self.state = "cold"
        self.ran = []
        self.hits = 0
        self.misses = 0
        self.overloads = 0
        self.late_starts = 0
        self.left_at = None

    def bearable(self, now):
        """Return how many inquiries it can bear at once, fewer while cold."""
        age = now - self.born_at
        if age >= self.warm_seconds:
            if self.state == "cold":
                self.state = "ready"
            return self.slots
        return max(1, int(self.slots * age / self.warm_seconds))

    def begin(self, request_name, prefix, now):
        """Take an inquiry; return the seconds of its prefill, or None when it is too much."""
        if self.left_at is not None and now - self.left_at > 2.0:
            self.late_starts += 1
        if self.busy >= self.slots:
            return None
        if self.busy >= self.bearable(now):
            self.overloads += 1
            return None
        self.busy += 1
        self.ran.append((now, request_name))
        is_hit = prefix in self.cache
        self.hits, self.misses = self.hits + is_hit, self.misses + (not is_hit)
        self.cache[prefix] = True
        self.cache.move_to_end(prefix)
        while len(self.cache) > self.cache_room:
            self.cache.popitem(last=False)
        return 0.005 if is_hit else 0.06

    def finish(self):
        """Free the room of one inquiry."""
        self.busy -= 1

    def leave(self, now):
        """Begin to leave: nothing new is welcome."""
        self.state = "leaving"
        self.left_at = now

    def beat(self, service, zone, address, sequence):
        """Return the body of a beat."""
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
