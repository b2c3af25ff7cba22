"""All time constants are ratios to the bounds the settings name."""


class Bounds:
    """The bounds users were promised, and the constants that follow from them."""

    __slots__ = ("news", "emptying", "ending", "reading", "return_")

    def __init__(self, news=2.0, emptying=5.0, ending=3.0, reading=1.0, return_=12.0):
        self.news = news
        self.emptying = emptying
        self.ending = ending
        self.reading = reading
        self.return_ = return_

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
    def round(self):
        """How long one message to a few nodes may take before it is tried again."""
        return self.beat

    @property
    def fresh(self):
        """How old the word of a majority of config stores may be at an edge."""
        return self.news * 0.85

    @property
    def silent(self):
        """Silence after which a replica gets nothing new."""
        return self.news * 0.75
