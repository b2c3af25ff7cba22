"""The present version sends and stores what the landed one did: the same bytes from the same seeds.

A change of what is sent, or when, fails here. Where it is meant, the record is made anew with
`python -m tests.wire_record`, and the commit says which messages changed and how members of the
version before read them.
"""

import json
from functools import lru_cache
from pathlib import Path

import pytest

from quillring.kernel.errors import BadWire
from quillring.nifty.wire import unpack
from tests.wire_record import RUNS, record

RECORDED = json.loads((Path(__file__).parent / "data" / "landed" / "messages.json").read_text())
played = lru_cache(record)


def group(name, *words):
    """Return a parameter whose tests share one worker, and so one played run."""
    return pytest.param(name, *words, marks=pytest.mark.xdist_group(f"wire {name}"))


each_run = pytest.mark.parametrize("run", [group(name) for name in RUNS])
each_kind = pytest.mark.parametrize(
    ("run", "kind"), [group(run, kind) for run in RUNS for kind in RECORDED[run]["messages"]]
)


@each_run
def test_a_run_has_the_kinds_of_messages_it_had(run):
    assert set(played(run)["messages"]) == set(RECORDED[run]["messages"])


@each_kind
def test_messages_of_a_kind_have_the_forms_they_had(run, kind):
    message = played(run)["messages"][kind]
    recorded = RECORDED[run]["messages"][kind]
    assert message["forms"] == recorded["forms"], (message["sample"], recorded["sample"])


@each_kind
def test_messages_of_a_kind_are_as_many_and_the_same_bytes(run, kind):
    message = played(run)["messages"][kind]
    recorded = RECORDED[run]["messages"][kind]
    assert message["sample"] == recorded["sample"]
    assert (message["count"], message["bytes"]) == (recorded["count"], recorded["bytes"])


@each_run
def test_the_stores_disks_hold_the_same_bytes(run):
    assert played(run)["files"] == RECORDED[run]["files"]


@pytest.mark.parametrize("run", RUNS)
def test_recorded_messages_are_read_and_cut_ones_refused(run):
    for recorded in RECORDED[run]["messages"].values():
        data = bytes.fromhex(recorded["sample"])
        assert len(unpack(data)[1]) > 5
        with pytest.raises(BadWire):
            unpack(data[:-1])
