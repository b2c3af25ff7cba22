"""Exchange of the load on replicas between nodes.

A node observes only its own requests to replicas. While its requests in flight change, it reports
them, at most every REPORT_INTERVAL_SECONDS, to one node of its zone, the zone's representative. The
representative sums the reports and sends the sum to the nodes of its zone and, less often, to the
representatives of the other zones, which forward it to their nodes. The messages of a node
therefore do not grow with the size of its zone, nor the messages between zones with the number of
nodes. Only long prompts are reported to all nodes of the zone immediately, because they delay other
requests from the moment they are sent.

Each report contains the complete state of its sender, so the effect of a lost, delayed or duplicate
report does not last. Reports are hints: the rules that exclude replicas that are leaving, warming
up or being evacuated do not depend on them. While a zone's representative is unreachable, the
zone's nodes know their own requests only.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quillring.forward.load_messages import (
    LOAD_REPORT,
    ZONE_LOAD_REPORT,
    LoadReport,
)
from quillring.kernel.effects import Sleep
from quillring.kernel.records import NamedTuple
from quillring.nifty.graph import rendezvous_score

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence
    from typing import Any

    from quillring.forward.load_messages import PromptStart, PromptTiming
    from quillring.kernel.member import Member
    from quillring.kernel.node import Node
    from quillring.kernel.types import Coroutine

SENDING_ROLES = ("core", "edge")
"""Roles of nodes that send requests to replicas, in order of preference as representative."""
REPORT_INTERVAL_SECONDS = 0.2
MAX_ZONE_MESSAGES_PER_SECOND = 200
"""Limit for a representative's messages to its zone; reports to many nodes are less frequent."""
ZONE_REPORT_INTERVAL_SECONDS = 1.0
MAX_PENDING_PROMPT_REPORTS = 256
"""Prompt starts or timings stored for the next report; beyond this, the oldest are dropped."""


class ReceivedReport(NamedTuple):
    """The last report of one source, with its sender and the time of receipt."""

    sender: str
    received_at: float
    report: LoadReport


class LoadExchange:
    """Sends this node's load to its zone's representative and stores the sums of all zones.

    Attributes
    ----------
    on_activity
        Called with each replica that recently responded to a node of the zone.
    on_prompt_start
        Called with each reported long prompt, and whether a node of this zone sent it.
    on_prompt_timing
        Called with each time to first token reported by a node of the zone.
    node_reports
        The last report of each node of the zone; used by the representative.
    zone_reports
        The last sum of each zone.
    sent_in_flight, sent_batch_in_flight
        This node's requests in flight by replica as last reported, and the batch requests (items of
        lots) among them. They are part of the zone's sum.
    """

    __slots__ = (
        "node",
        "count_own_requests",
        "count_own_batch_requests",
        "silent_replicas",
        "on_activity",
        "on_prompt_start",
        "on_prompt_timing",
        "node_reports",
        "zone_reports",
        "own_timings",
        "zone_timings",
        "zone_starts",
        "sequence",
        "sent_at",
        "sent_in_flight",
        "sent_batch_in_flight",
        "zone_sent_at",
        "sent_zone_in_flight",
        "sent_zone_batch_in_flight",
        "graph",
        "roster",
        "peers_by_zone",
    )

    def __init__(
        self,
        node: Node,
        count_own_requests: Callable[[], dict[str, int]],
        count_own_batch_requests: Callable[[], dict[str, int]],
        silent_replicas: Callable[[], list[str]],
        on_activity: Callable[[str], object],
        on_prompt_start: Callable[[PromptStart, bool], object],
        on_prompt_timing: Callable[[PromptTiming], object],
    ) -> None:
        self.node = node
        self.count_own_requests = count_own_requests
        self.count_own_batch_requests = count_own_batch_requests
        self.silent_replicas = silent_replicas
        self.on_activity = on_activity
        self.on_prompt_start = on_prompt_start
        self.on_prompt_timing = on_prompt_timing
        self.node_reports: dict[str, ReceivedReport] = {}
        self.zone_reports: dict[str, ReceivedReport] = {}
        self.own_timings: list[PromptTiming] = []
        self.zone_timings: list[PromptTiming] = []
        self.zone_starts: list[PromptStart] = []
        self.sequence = 0
        self.sent_at = 0.0
        self.sent_in_flight: dict[str, int] = {}
        self.sent_batch_in_flight: dict[str, int] = {}
        self.zone_sent_at = 0.0
        self.sent_zone_in_flight: dict[str, int] = {}
        self.sent_zone_batch_in_flight: dict[str, int] = {}
        self.graph: Any = None
        self.roster: Any = None
        self.peers_by_zone: dict[str, list[Member]] = {}
        node.handle(LOAD_REPORT, self.on_load_report)
        node.handle(ZONE_LOAD_REPORT, self.on_zone_load_report)

    def run(self) -> Coroutine:
        """Report this node's load while it changes; as representative, the load of the zone."""
        last_sent_to_other_zones_at = self.node.now()
        while True:
            yield Sleep(self._report_interval())
            self._drop_expired_reports()
            if self._representative(self.node.me.zone) != self.node.me.name:
                self._report_own_load()
                continue
            self._report_zone_load()
            if self.node.now() - last_sent_to_other_zones_at >= ZONE_REPORT_INTERVAL_SECONDS:
                last_sent_to_other_zones_at = self.node.now()
                self._report_to_other_zones()

    def peer_in_flight(self, replica_name: str) -> int:
        """Return the reported requests of all other nodes in flight at a replica."""
        total = -self.sent_in_flight.get(replica_name, 0)
        for received in self.zone_reports.values():
            total += received.report.in_flight.get(replica_name, 0)
        return max(0, total)

    def peer_batch_in_flight(self, replica_name: str) -> int:
        """Return the reported batch requests of all other nodes in flight at a replica."""
        total = -self.sent_batch_in_flight.get(replica_name, 0)
        for received in self.zone_reports.values():
            total += received.report.batch_in_flight.get(replica_name, 0)
        return max(0, total)

    def report_prompt_start(self, start: PromptStart) -> None:
        """Report a long prompt of this node to the nodes of its zone immediately."""
        self._add_zone_start(start)
        report = self._own_report([start]).to_wire()
        for member in self._zone_peers(self.node.me.zone):
            self.node.send_oneway(member.name, LOAD_REPORT, report)

    def report_prompt_timing(self, timing: PromptTiming) -> None:
        """Add the time to first token of a prompt of this node to its next report."""
        self.own_timings = [*self.own_timings, timing][-MAX_PENDING_PROMPT_REPORTS:]

    def _report_interval(self) -> float:
        """Return the seconds between reports, longer in a zone with many nodes."""
        peer_count = len(self._zone_peers(self.node.me.zone))
        return max(REPORT_INTERVAL_SECONDS, peer_count / MAX_ZONE_MESSAGES_PER_SECOND)

    def _zone_peers(self, zone: str) -> list[Member]:
        """Return the reachable nodes of a zone that send requests to replicas, except this one."""
        nifty = self.node.find("nifty")
        if nifty.graph is not self.graph or nifty.roster is not self.roster:
            self.graph, self.roster = nifty.graph, nifty.roster
            self.peers_by_zone = {}
            for member in self.roster.members.values():
                if member.role in SENDING_ROLES and member.name in self.graph.routes:
                    self.peers_by_zone.setdefault(member.zone, []).append(member)
        return self.peers_by_zone.get(zone, [])

    def _representative(self, zone: str) -> str:
        """Return the node that sums a zone's reports, chosen by rendezvous hashing.

        Nodes whose role is not on the path of client requests are preferred.
        """
        members = list(self._zone_peers(zone))
        if zone == self.node.me.zone:
            members.append(self.node.me)
        first_role = min((SENDING_ROLES.index(member.role) for member in members), default=0)
        names = [m.name for m in members if SENDING_ROLES.index(m.role) == first_role]
        return max(names, key=lambda name: rendezvous_score(zone, name))

    def _own_report(
        self, starts: Sequence[PromptStart] = (), timings: Sequence[PromptTiming] = ()
    ) -> LoadReport:
        """Return a report of this node's current load, and store that load as the last reported."""
        self.sent_in_flight, self.sent_at = self.count_own_requests(), self.node.now()
        self.sent_batch_in_flight = self.count_own_batch_requests()
        return self._make_report(
            self.node.me.name,
            self.sent_in_flight,
            self.sent_batch_in_flight,
            self.silent_replicas(),
            starts,
            timings,
        )

    def _make_report(
        self,
        source: str,
        in_flight: dict[str, int],
        batch_in_flight: dict[str, int],
        silent: list[str],
        starts: Sequence[PromptStart],
        timings: Sequence[PromptTiming],
    ) -> LoadReport:
        """Return a report with the next sequence number of this node."""
        self.sequence += 1
        incarnation = self.node.me.incarnation
        return LoadReport(
            source,
            incarnation,
            self.sequence,
            in_flight,
            batch_in_flight,
            silent,
            list(starts),
            list(timings),
        )

    def _drain_own_timings(self) -> list[PromptTiming]:
        """Return the timings that were not reported yet, and clear them."""
        timings, self.own_timings = self.own_timings, []
        return timings

    def _report_own_load(self) -> None:
        """Send this node's load to the zone's representative, if necessary.

        It is necessary if the load changed, if prompt timings are pending, or before the last
        report expires.
        """
        in_flight = self.count_own_requests()
        is_due = self.node.now() - self.sent_at >= self.node.bounds.heartbeat_interval
        if in_flight != self.sent_in_flight or (in_flight and is_due) or self.own_timings:
            representative = self._representative(self.node.me.zone)
            report = self._own_report(timings=self._drain_own_timings())
            self.node.send_oneway(representative, LOAD_REPORT, report.to_wire())

    def _report_zone_load(self) -> None:
        """Send the zone's sum to its nodes if it changed, or before the last one expires."""
        report = self._sum_zone_load()
        is_due = self.node.now() - self.zone_sent_at >= self.node.bounds.heartbeat_interval
        is_changed = report.in_flight != self.sent_zone_in_flight or report.timings
        if not is_changed and not (report.in_flight and is_due):
            return
        self.zone_sent_at, self.sent_zone_in_flight = self.node.now(), report.in_flight
        self.sent_zone_batch_in_flight = report.batch_in_flight
        self._accept_zone_report(report, self.node.me.name)
        body = report.to_wire()
        for member in self._zone_peers(self.node.me.zone):
            self.node.send_oneway(member.name, ZONE_LOAD_REPORT, body)

    def _sum_zone_load(self) -> LoadReport:
        """Return the sum of this node's load and the reports of the zone's other nodes.

        A replica is silent if it is silent towards every node with requests in flight there.
        """
        reports = [self._own_report(), *(r.report for r in self.node_reports.values())]
        in_flight = sum_counts([report.in_flight for report in reports])
        batch_in_flight = sum_counts([report.batch_in_flight for report in reports])
        active: set[str] = set()
        for report in reports:
            active |= report.in_flight.keys() - set(report.silent)
        silent = sorted(in_flight.keys() - active)
        timings, self.zone_timings = [*self._drain_own_timings(), *self.zone_timings], []
        return self._make_report(self.node.me.zone, in_flight, batch_in_flight, silent, [], timings)

    def _report_to_other_zones(self) -> None:
        """Send the last sum and the new prompt starts to the representative of each other zone."""
        starts, self.zone_starts = self.zone_starts, []
        if not self.sent_zone_in_flight and not starts:
            return
        zone = self.node.me.zone
        zone_load = (self.sent_zone_in_flight, self.sent_zone_batch_in_flight)
        body = self._make_report(zone, *zone_load, [], starts, []).to_wire()
        for other_zone in self.peers_by_zone:
            if other_zone != zone:
                representative = self._representative(other_zone)
                self.node.send_oneway(representative, ZONE_LOAD_REPORT, body)

    def on_load_report(self, body: Any, origin: str) -> None:
        """Store a node's report of its own load; raise BadWire if it is malformed."""
        report = LoadReport.from_wire(body)
        if not is_newer(report, origin, self.node_reports.get(origin)):
            return
        self.node_reports[origin] = ReceivedReport(origin, self.node.now(), report)
        self.zone_timings = [*self.zone_timings, *report.timings][-MAX_PENDING_PROMPT_REPORTS:]
        for start in report.starts:
            self._add_zone_start(start)
            self.on_prompt_start(start, True)

    def on_zone_load_report(self, body: Any, origin: str) -> None:
        """Store the sum of a zone; forward it to this zone's nodes if it comes from another zone.

        Raises
        ------
        BadWire
            The report is malformed.
        """
        report = LoadReport.from_wire(body)
        if not self._accept_zone_report(report, origin):
            return
        member = self.node.find("nifty").find_member(origin)
        if member is not None and member.zone != self.node.me.zone:
            for peer in self._zone_peers(self.node.me.zone):
                self.node.send_oneway(peer.name, ZONE_LOAD_REPORT, body)

    def _accept_zone_report(self, report: LoadReport, origin: str) -> bool:
        """Store the sum of a zone; return False if it is not newer than the sender's last one."""
        if not is_newer(report, origin, self.zone_reports.get(report.source)):
            return False
        self.zone_reports[report.source] = ReceivedReport(origin, self.node.now(), report)
        if report.source == self.node.me.zone:
            for replica in report.in_flight.keys() - set(report.silent):
                self.on_activity(replica)
            for timing in report.timings:
                self.on_prompt_timing(timing)
        for start in report.starts:
            self.on_prompt_start(start, False)
        return True

    def _add_zone_start(self, start: PromptStart) -> None:
        """Store a prompt start for the next report to other zones."""
        self.zone_starts = [*self.zone_starts, start][-MAX_PENDING_PROMPT_REPORTS:]

    def _drop_expired_reports(self) -> None:
        """Drop reports of senders that are unreachable or silent, as their requests have ended."""
        nifty, now = self.node.find("nifty"), self.node.now()
        oldest_time = now - self.node.bounds.link_timeout
        for reports in (self.node_reports, self.zone_reports):
            for source, received in list(reports.items()):
                if received.received_at < oldest_time or not nifty.reaches(received.sender):
                    del reports[source]


def sum_counts(counts: Sequence[dict[str, int]]) -> dict[str, int]:
    """Return the sum of several maps from names to counts."""
    total: dict[str, int] = {}
    for count_by_name in counts:
        for name, count in count_by_name.items():
            total[name] = total.get(name, 0) + count
    return total


def is_newer(report: LoadReport, origin: str, known: ReceivedReport | None) -> bool:
    """Return whether a report is newer than the known one; always true for another sender."""
    if known is None or known.sender != origin:
        return True
    known_order = (known.report.incarnation, known.report.sequence)
    return (report.incarnation, report.sequence) > known_order
