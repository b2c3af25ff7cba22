"""The present version sends and stores the same bytes as the landed one, from the same seeds.

A change of what is sent, or when, fails these tests. If it is intended, make a new record with
`python -m tests.wire_record`, and state in the commit which messages changed and how members that
run the previous version read them.
"""

import json
from functools import lru_cache
from pathlib import Path

import pytest

from quillring.kernel.errors import BadWire
from quillring.nifty.wire import unpack
from tests.wire_record import RUNS, play_and_record

RECORDED = json.loads((Path(__file__).parent / "data" / "landed" / "messages.json").read_text())
cached_record = lru_cache(play_and_record)


def run_parameter(name, *values):
    """Return a parameter whose tests run in one xdist worker and so share one cached run."""
    return pytest.param(name, *values, marks=pytest.mark.xdist_group(f"wire {name}"))


each_run = pytest.mark.parametrize("run", [run_parameter(name) for name in RUNS])
each_kind = pytest.mark.parametrize(
    ("run", "kind"),
    [run_parameter(run, kind) for run in RUNS for kind in RECORDED[run]["messages"]],
)


@each_run
def test_run_sends_the_recorded_kinds_of_messages(run):
    assert set(cached_record(run)["messages"]) == set(RECORDED[run]["messages"])


@each_kind
def test_messages_have_the_recorded_forms(run, kind):
    message = cached_record(run)["messages"][kind]
    recorded = RECORDED[run]["messages"][kind]
    assert message["forms"] == recorded["forms"], (message["sample"], recorded["sample"])


@each_kind
def test_messages_have_the_recorded_count_and_bytes(run, kind):
    message = cached_record(run)["messages"][kind]
    recorded = RECORDED[run]["messages"][kind]
    assert message["sample"] == recorded["sample"]
    assert (message["count"], message["bytes"]) == (recorded["count"], recorded["bytes"])


@each_run
def test_store_disks_have_the_recorded_files(run):
    assert cached_record(run)["files"] == RECORDED[run]["files"]


@pytest.mark.parametrize("run", RUNS)
def test_recorded_messages_are_decoded_and_truncated_ones_rejected(run):
    for recorded in RECORDED[run]["messages"].values():
        data = bytes.fromhex(recorded["sample"])
        assert len(unpack(data)[1]) > 5
        with pytest.raises(BadWire):
            unpack(data[:-1])
