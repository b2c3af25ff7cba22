"""All time constants are ratios to the bounds the settings name."""


class Bounds:
    """The bounds users were promised, and the constants that follow from them."""

    __slots__ = (
        "news",
        "emptying",
        "ending",
        "reading",
        "return_",
        "sync",
        "grace",
        "replica_beat",
    )

    def __init__(
        self,
        news=2.0,
        emptying=5.0,
        ending=3.0,
        reading=1.0,
        return_=12.0,
        sync=None,
        grace=None,
        replica_beat=0.5,
    ):
        self.news = news
        self.emptying = emptying
        self.ending = ending
        self.reading = reading
        self.return_ = return_
        self.sync = sync
        self.grace = grace
        self.replica_beat = replica_beat

    @property
    def beat(self):
        """The heartbeat period: a quarter of the news bound."""
        return self.news / 4

    @property
    def broken(self):
        """Silence after which a link counts as broken: three missed beats."""
        return self.beat * 3

    @property
    def chatter(self):
        """The period in which fresh news is passed on."""
        return self.beat / 10

    @property
    def round_trip(self):
        """How long one message to a few nodes may take before it is tried again."""
        return self.beat

    @property
    def fresh(self):
        """How old the word of a majority of config stores may be at an edge."""
        return self.news * 0.85

    @property
    def silent(self):
        """Silence after which a replica gets nothing new: at least two of its beats missed."""
        return max(self.news * 0.75, self.replica_beat * 2.7)

    @property
    def telling(self):
        """How long signs of life wait to be told together: one missed beat leaves this much."""
        return (self.silent - self.replica_beat * 2) / 2
