"""Classes of service: promises, and borrowing of the room others leave idle."""

from quillring.classes.granter import Granter
from quillring.classes.meter import Meter
from quillring.classes.shares import divide
from quillring.classes.taker import Taker

__all__ = ["Granter", "Meter", "Taker", "divide"]
