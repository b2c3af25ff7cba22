"""Store disks that stall, are slow or are full: no delay for orders, no unsynced acknowledgment."""

import random

import pytest

from proving.sim.disk import SimDisk
from quillring.fleet import open_store
from quillring.kernel.errors import DiskError, Fenced, QuillringError
from quillring.quorum.parts import CONFIG_PART
from quillring.verbs.status_routes import show_status
from tests.fleet_stage import SelfFoundingFleet
from tests.http_lot_stage import HttpLotStage

STALL_SECONDS = 8.0
MAX_ORDER_SECONDS = 0.5
MAX_SUBMIT_SECONDS = 0.4


def domain_order(number):
    """Return the command that marks a zone as emptied; each number names another zone."""
    return {
        "do": "domain.mark",
        "domain": f"zone-{number}",
        "emptied": True,
        "nodes": False,
    }


def stall_disk(sim, name):
    """Make the next sync of a store take STALL_SECONDS while its process keeps running."""
    disk = sim.disks[name]
    normal_sync_seconds, disk.sync_seconds = disk.sync_seconds, (STALL_SECONDS, STALL_SECONDS)
    sim.env.timeout(1).callbacks.append(
        lambda _: setattr(disk, "sync_seconds", normal_sync_seconds)
    )


def block_process(sim, name):
    """Suspend a store's process for STALL_SECONDS, as a sync inside its event loop would."""
    sim.freeze(name, STALL_SECONDS)


def slow_disk(sim, name):
    """Make all later syncs of a store take thirty times as long."""
    sim.disks[name].sync_seconds = (0.03, 0.18)


def fill_disk(sim, name, seconds=STALL_SECONDS):
    """Make a store's disk reject writes as full for some seconds."""
    sim.disks[name].is_full = True
    sim.env.timeout(seconds).callbacks.append(lambda _: setattr(sim.disks[name], "is_full", False))


DISK_FAULTS = [stall_disk, block_process, slow_disk, fill_disk]


def config_stores(fleet):
    """Return the names of the stores of the config part."""
    return [store[0] for store in fleet.sim.nodes["core-1"].find("ownership").group(CONFIG_PART)]


@pytest.mark.parametrize("inject_fault", DISK_FAULTS)
@pytest.mark.parametrize("store_index", range(3))
def test_faulty_disk_of_one_store_delays_no_order(inject_fault, store_index):
    fleet = SelfFoundingFleet(101 + store_index)
    name = config_stores(fleet)[store_index]
    inject_fault(fleet.sim, name)
    slowest = 0
    for number in range(30):
        begun_at = fleet.env.now
        _, error = fleet.submit("core-2", domain_order(number))
        assert error is None, error
        slowest = max(slowest, fleet.env.now - begun_at)
        fleet.run(0.3)
    assert slowest < MAX_ORDER_SECONDS


@pytest.mark.parametrize("inject_fault", DISK_FAULTS)
@pytest.mark.parametrize("store_index", range(3))
def test_faulty_disk_of_one_store_delays_no_lot(inject_fault, store_index):
    with HttpLotStage(111 + store_index) as stage:
        owner = stage.owner()
        part = next(p for p, o in owner.find("raw").item_tables.items() if o.leader.is_leader)
        inject_fault(stage.sim, owner.find("ownership").group(part)[store_index][0])
        for number in range(16):
            begun_at = stage.env.now
            _, error = stage.submit(f"lot-{number}", 1)
            assert error is None, error
            assert stage.env.now - begun_at < MAX_SUBMIT_SECONDS
            stage.run(0.5)
        for number in range(16):
            assert len(stage.read_all(f"lot-{number}")) == 1


def test_store_with_a_full_disk_reports_the_error_and_catches_up_once_space_is_free():
    fleet = SelfFoundingFleet(121)
    name = config_stores(fleet)[0]
    acceptors = fleet.stores()[name]
    applied_before = acceptors.parts[CONFIG_PART].applied
    fill_disk(fleet.sim, name, fleet.sim.bounds.resync * 0.4)
    for number in range(4):
        assert fleet.submit("core-2", domain_order(number))[1] is None
    fleet.run(0.05)
    assert isinstance(acceptors.log.error, DiskError)
    assert "no space left" in show_status(fleet.sim.nodes[name], None)["disk_error"]
    assert acceptors.stamp() is None
    index, state = acceptors.on_image({"part": CONFIG_PART}, "anyone")
    assert index >= applied_before and state["group"]
    fleet.run(fleet.sim.bounds.resync * 0.4)
    newest = max(
        a.parts[CONFIG_PART].applied for a in fleet.stores().values() if CONFIG_PART in a.parts
    )
    seconds_to_catch_up = fleet.wait_for(lambda: acceptors.parts[CONFIG_PART].applied == newest, 3)
    assert seconds_to_catch_up is not None and acceptors.log.error is None
    assert name in config_stores(fleet)
    assert show_status(fleet.sim.nodes[name], None)["disk_error"] is None


class StubNode:
    """Stub with the node attributes that an acceptor reads."""

    class Me:
        name = "store"

    me = Me()


class AcceptorOnDisk:
    """An acceptor on a simulated disk whose sync the test triggers."""

    def __init__(self, name, disk=None):
        self.name, self.disk = name, disk or SimDisk(random.Random(1), (0, 0))
        self.acceptors = open_store(self.disk, name, lambda: "1")
        self.acceptors.node = StubNode()
        self.writer = self.acceptors.log.run(0.5)
        next(self.writer)

    def ask(self, service, ballot, **body):
        """Return the answer or error, or the coroutine if it waits for the disk to sync."""
        fields = {
            "part": CONFIG_PART,
            "identity": self.acceptors.identity,
            "ballot": ballot,
            **body,
        }
        try:
            answer = getattr(self.acceptors, f"on_{service}")(fields, "core")
            if hasattr(answer, "send"):
                next(answer)
            return answer
        except StopIteration as stop:
            return stop.value
        except QuillringError as error:
            return error

    def sync(self, coroutine):
        """Sync the disk; return the answer that the waiting coroutine then gives."""
        self.writer.send(True)
        try:
            coroutine.send(True)
        except StopIteration as stop:
            return stop.value
        raise AssertionError("the request still waits after the sync")

    def after_power_loss(self):
        """Return the store restarted after a power loss."""
        self.disk.lose_power()
        return AcceptorOnDisk(self.name, self.disk)


def three_stores(ballot):
    """Return three stores that have durably promised a ballot."""
    stores = [AcceptorOnDisk(f"store-{n}") for n in range(3)]
    for store in stores:
        store.sync(store.ask("prepare", ballot))
    return stores


def test_confirmation_before_the_promise_is_durable_lets_no_old_owner_write():
    old_ballot, new_ballot = [1, "a"], [2, "b"]
    first, second, unsynced_store = three_stores(old_ballot)
    for store in (first, second):
        store.sync(store.ask("prepare", new_ballot))
    waiting = unsynced_store.ask("prepare", new_ballot)
    assert hasattr(waiting, "send"), "the promise was sent before the disk was synced"
    assert unsynced_store.ask("confirm", new_ballot) is True
    assert isinstance(unsynced_store.ask("confirm", old_ballot), Fenced)
    unsynced_store = unsynced_store.after_power_loss()
    entry = {"index": 1, "batch": [], "committed": 0}
    votes = [store.ask("accept", old_ballot, **entry) for store in (first, second, unsynced_store)]
    assert [isinstance(vote, Fenced) for vote in votes] == [True, True, False]
    confirmed = [store.ask("confirm", old_ballot) for store in (first, second, unsynced_store)]
    assert sum(answer is True for answer in confirmed) < 2


def test_no_answer_is_sent_before_a_stalled_disk_has_synced():
    ballot = [1, "a"]
    store = three_stores(ballot)[0]
    asked = [
        store.ask("prepare", [2, "b"]),
        store.ask("accept", [2, "b"], index=1, batch=[], committed=0),
        store.ask("commit", [2, "b"], committed=1),
        store.ask("install", [2, "b"], index=5, state={"group": []}),
    ]
    assert all(hasattr(answer, "send") for answer in asked)
    store = store.after_power_loss()
    record = store.acceptors.parts[CONFIG_PART]
    assert (record.promised, record.applied, record.entries) == ((1, "a"), 0, {})


def test_store_with_a_full_disk_acknowledges_nothing_it_could_not_write():
    old_ballot, new_ballot = [1, "a"], [2, "b"]
    store = three_stores(old_ballot)[0]
    store.disk.is_full = True
    waiting = [
        store.ask("prepare", new_ballot),
        store.ask("accept", new_ballot, index=1, batch=[], committed=0),
    ]
    store.writer.send(True)
    for coroutine in waiting:
        with pytest.raises(DiskError):
            coroutine.send(True)
    assert isinstance(store.ask("confirm", new_ballot), DiskError)
    assert isinstance(store.ask("commit", new_ballot, committed=0), DiskError)
    record = store.after_power_loss().acceptors.parts[CONFIG_PART]
    assert (record.promised, record.entries) == ((1, "a"), {})


def test_store_whose_disk_stays_full_is_replaced_before_another_store_fails():
    fleet = SelfFoundingFleet(131)
    full, lost, _ = config_stores(fleet)
    fleet.sim.disks[full].is_full = True
    assert fleet.submit("core-2", domain_order(1))[1] is None
    fleet.run(fleet.sim.bounds.resync * 2)
    fleet.sim.kill(lost)
    fleet.run(4)
    _, error = fleet.submit("core-2", domain_order(2), seconds=2)
    assert error is None, error
    assert full not in config_stores(fleet)
    fleet.sim.disks[full].is_full = False
    fleet.run(4)
    assert fleet.stores()[full].log.error is None
