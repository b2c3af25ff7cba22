"""Runs three nodes with only the peer layer and gossip, in one process, on loopback."""

import gevent

from quillring.gossip import Gossip
from quillring.kernel import Node
from quillring.kernel.gevent_runtime import GeventRuntime
from quillring.nifty import Member, Nifty

ADDRESSES = [("127.0.43.1", 7600), ("127.0.43.2", 7600), ("127.0.43.3", 7600)]


def start(number):
    """Start one node with the peer layer and gossip; its only seed is the first address."""
    host, port = ADDRESSES[number]
    me = Member(f"node-{number}", number + 1, "core", "here", host, port, 1, "")
    runtime = GeventRuntime(print, 1.0)
    node = Node(me, runtime)
    nifty = node.offer("nifty", Nifty(node, ADDRESSES[:1]))
    gossip = node.offer("gossip", Gossip(node))

    def publish_member(member):
        gossip.publish(f"member/{member.name}", [member.incarnation], member.to_list())

    nifty.on_member = publish_member
    nifty.on_unknown_roster = gossip.start_anti_entropy
    gossip.subscribe("member/", lambda key, fields: nifty.learn(Member.from_list(fields)))
    publish_member(me)
    node.handle("greet", lambda body, origin: f"{me.name} greets {origin}")
    runtime.listen(host, port, nifty.on_datagram, nifty.on_frame)
    node.spawn(nifty.run())
    node.spawn(gossip.run())
    return node


def main():
    """Wait until all nodes are connected, then call a node by name and publish a value."""
    nodes = [start(number) for number in range(3)]
    with gevent.Timeout(30):
        graphs = [node.find("nifty").graph for node in nodes]
        while any(len(graph.live) < 3 or graph.is_cut for graph in graphs):
            graphs = [node.find("nifty").graph for node in nodes]
            gevent.sleep(0.05)
        print("bridges:", nodes[0].find("nifty").bridge_nodes())
        print(nodes[0].runtime.drive(nodes[0].call("node-2", "greet", None)))
        nodes[1].find("gossip").publish("weather", [1], "fog")
        while nodes[2].find("gossip").get("weather") is None:
            gevent.sleep(0.05)
        print("news at node-2:", nodes[2].find("gossip").get("weather"))


if __name__ == "__main__":
    main()
