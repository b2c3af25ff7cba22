"""The cheap `NamedTuple` of the kernel makes the same classes as the one of `typing`."""

import pickle
import typing

import pytest

from quillring.kernel.records import NamedTuple


class Cheap(NamedTuple):
    """A record with a default, a method and a constant."""

    name: str
    index: int = 7

    LIMIT = 3

    @property
    def label(self):
        return f"{self.name}/{self.index}"

    @classmethod
    def first(cls):
        return cls("first", 1)


class Typed(typing.NamedTuple):
    """The same record by `typing`."""

    name: str
    index: int = 7

    LIMIT = 3

    @property
    def label(self):
        return f"{self.name}/{self.index}"

    @classmethod
    def first(cls):
        return cls("first", 1)


@pytest.mark.parametrize("record", [Cheap, Typed])
def test_a_record_is_a_tuple_with_named_fields(record):
    made = record("a")
    assert isinstance(made, tuple) and made == ("a", 7)
    assert (made.name, made.index, made.label, record.LIMIT) == ("a", 7, "a/7", 3)
    assert record.first() == ("first", 1)
    assert made._replace(index=2) == record(name="a", index=2)
    assert record._fields == ("name", "index") and record._field_defaults == {"index": 7}
    assert repr(made) == f"{record.__name__}(name='a', index=7)"
    assert made.__slots__ == () and not hasattr(made, "__dict__")


@pytest.mark.parametrize("record", [Cheap, Typed])
def test_a_record_keeps_its_names_and_documentation(record):
    assert record.__module__ == __name__ and record.__qualname__ == record.__name__
    assert record.__doc__.startswith(("A record", "The same"))
    assert set(record.__annotations__) == {"name", "index"}
    assert pickle.loads(pickle.dumps(record("a", 1))) == ("a", 1)


@pytest.mark.parametrize("record", [Cheap, Typed])
def test_a_missing_or_unknown_field_is_an_error(record):
    with pytest.raises(TypeError):
        record()
    with pytest.raises(TypeError):
        record("a", other=1)
