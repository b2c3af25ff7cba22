"""Assembles the services of a node by its role, in the same way for every runtime."""

from quillring.classes import QuotaClient, QuotaServer, ServiceLevelMeter
from quillring.edge import Dispatcher, Journal, ReplicaTable
from quillring.edge.replica_snapshot import ReplicaSnapshot
from quillring.edge.resume_token import TOKEN_LIFETIME_SECONDS
from quillring.forward import DecisionLog, ForwardRouteTable, HeaderNames, LoadBalancer
from quillring.gossip import Gossip
from quillring.kernel.errors import DiskError
from quillring.kernel.node import Node
from quillring.kernel.registry import Registry
from quillring.lots.http_requests import start_http_request_lots
from quillring.lots.prompts import PromptLotScheduler
from quillring.nifty import Member, Nifty
from quillring.nifty.wire import SUPPORTED_VERSIONS
from quillring.ownership import Ownership
from quillring.plans import PlanRunner
from quillring.plans.runner import count_busy
from quillring.quorum import Acceptors
from quillring.quorum.acceptor.hint_store import HintStore
from quillring.quorum.acceptor.retirement_gate import RetirementGate
from quillring.quorum.disk_health import DiskHealth
from quillring.quorum.founding.founding_vote import FoundingVoter, Witness
from quillring.quorum.leader.membership_repair import MembershipRepair
from quillring.rollout import ConfigurationSnapshot, Freshness
from quillring.rollout import commands as rollout_commands
from quillring.store import CheckpointedLog

ROLES = Registry("role")
PLUGINS = (rollout_commands,)


def make_node(me, runtime, seeds, bounds, log=None, versions=SUPPORTED_VERSIONS):
    """Return a node with the services common to all roles; no coroutine is started yet."""
    node = Node(me, runtime, bounds, log)
    nifty = node.offer("nifty", Nifty(node, seeds, versions))
    gossip = node.offer("gossip", Gossip(node))
    node.offer("ownership", Ownership(node))
    node.offer("elector", FoundingVoter(node))
    node.offer("layout", ConfigurationSnapshot(node))
    node.offer("freshness", Freshness(node))
    node.offer("replicas", ReplicaTable(node))
    node.offer("meter", ServiceLevelMeter(node))
    node.offer("dialect", HeaderNames())
    node.offer("forwards", ForwardRouteTable(node))
    node.offer("placement", LoadBalancer(node))
    node.offer("decisions", DecisionLog(node))

    def publish_member(member):
        gossip.publish(f"member/{member.name}", [member.incarnation], member.to_list())

    nifty.listeners.append(node.on_graph)
    nifty.on_member = publish_member
    nifty.on_unknown_roster = gossip.start_anti_entropy

    def apply_member_update(key, fields):
        if fields is None:
            nifty.forget(key.partition("/")[2])
        else:
            nifty.learn(Member.from_list(fields))

    gossip.subscribe("member/", apply_member_update)
    node.handle("node.busy", lambda body, origin: count_busy(node))
    publish_member(me)
    return node


def start_node(node, acceptors=None):
    """Start the coroutines of a node's role; `acceptors` is the recovered state of a store."""
    ROLES.find(node.me.role)(node, acceptors)
    for name in ("nifty", "gossip", "freshness"):
        node.spawn(node.find(name).run())


@ROLES.entry("edge")
def start_edge(node, acceptors):
    """Start an edge, which serves clients' requests."""
    _start_serving(node)


@ROLES.entry("core")
def start_core(node, acceptors):
    """Start a core, which leads parts, runs lots and stores journals of streams."""
    _start_serving(node)
    lot_scheduler = node.offer("lots", PromptLotScheduler(node))
    node.find("ownership").submit_checks.append(lot_scheduler.retention.check)
    node.find("ownership").leader_listeners.append(lot_scheduler.on_batch)
    node.offer("granter", QuotaServer(node))
    repair = node.offer("repair", MembershipRepair(node))
    plan_runner = node.offer("plans", PlanRunner(node))
    node.spawn(repair.run())
    node.spawn(plan_runner.run())
    node.spawn(node.find("ownership").run())
    node.spawn(lot_scheduler.run())
    node.spawn(start_http_request_lots(node))


def _start_serving(node):
    """Register and start the services with which edges and cores serve requests."""
    quota_client = node.offer("taker", QuotaClient(node))
    dispatch = node.offer("dispatch", Dispatcher(node))
    journal = node.offer("journal", Journal(node))
    node.spawn(dispatch.run())
    node.spawn(node.find("placement").exchange.run())
    node.spawn(quota_client.run())
    node.spawn(journal.run(TOKEN_LIFETIME_SECONDS))


@ROLES.entry("store")
def start_store(node, acceptors):
    """Start a store, which is an acceptor of the parts whose groups it belongs to."""
    acceptors = node.offer("acceptors", acceptors)
    acceptors.attach(node)
    node.find("nifty").stamp_source = acceptors.stamp
    hints = node.offer("hints", HintStore(node, acceptors))
    snapshot = node.offer("memory", ReplicaSnapshot(node, acceptors.log.disk))
    snapshot.restore()
    node.spawn(snapshot.run())
    node.spawn(acceptors.log.run(node.bounds.heartbeat_interval))
    node.spawn(DiskHealth(node, acceptors.log).run())
    node.offer("leaving", RetirementGate(node, acceptors))
    node.offer("witness", Witness(node, acceptors.log.disk))
    node.spawn(hints.run())
    if acceptors.founding is not None:
        node.find("gossip").publish("founding", [1], acceptors.founding)


def open_store(disk, name, make_identity):
    """Recover the acceptors from a data folder; without a checkpoint, initialise a new identity.

    Raises
    ------
    OtherIdentity
        The folder belongs to a member of another name.
    """
    acceptors = Acceptors()
    acceptors.log = CheckpointedLog(disk, acceptors)
    if not acceptors.log.recover():
        acceptors.identity = f"{name}.{make_identity()}"
        acceptors.log.write_checkpoint()
    if acceptors.identity.rpartition(".")[0] != name:
        raise OtherIdentity(
            folder_of=acceptors.identity,
            name=name,
            repair="start it under the name it was made for, or give it an empty folder",
        )
    return acceptors


class OtherIdentity(DiskError):
    """The data folder belongs to a member of another name."""

    kind = "other_identity"
