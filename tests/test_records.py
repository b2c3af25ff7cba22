"""The kernel's `NamedTuple` creates classes equivalent to those of `typing.NamedTuple`."""

import pickle
import typing

import pytest

from quillring.kernel.records import NamedTuple


class KernelRecord(NamedTuple):
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


class TypingRecord(typing.NamedTuple):
    """The same record, defined with `typing.NamedTuple`."""

    name: str
    index: int = 7

    LIMIT = 3

    @property
    def label(self):
        return f"{self.name}/{self.index}"

    @classmethod
    def first(cls):
        return cls("first", 1)


@pytest.mark.parametrize("record_type", [KernelRecord, TypingRecord])
def test_a_record_is_a_tuple_with_named_fields_and_defaults(record_type):
    instance = record_type("a")
    assert isinstance(instance, tuple) and instance == ("a", 7)
    assert (instance.name, instance.index, instance.label, record_type.LIMIT) == ("a", 7, "a/7", 3)
    assert record_type.first() == ("first", 1)
    assert instance._replace(index=2) == record_type(name="a", index=2)
    assert record_type._fields == ("name", "index") and record_type._field_defaults == {"index": 7}
    assert repr(instance) == f"{record_type.__name__}(name='a', index=7)"
    assert instance.__slots__ == () and not hasattr(instance, "__dict__")


@pytest.mark.parametrize("record_type", [KernelRecord, TypingRecord])
def test_a_record_class_has_module_name_docstring_and_annotations(record_type):
    assert record_type.__module__ == __name__ and record_type.__qualname__ == record_type.__name__
    assert record_type.__doc__.startswith(("A record", "The same"))
    assert set(record_type.__annotations__) == {"name", "index"}
    assert pickle.loads(pickle.dumps(record_type("a", 1))) == ("a", 1)


@pytest.mark.parametrize("record_type", [KernelRecord, TypingRecord])
def test_missing_and_unknown_fields_raise_type_error(record_type):
    with pytest.raises(TypeError):
        record_type()
    with pytest.raises(TypeError):
        record_type("a", other=1)
