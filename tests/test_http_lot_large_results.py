from quillring.lots.http_requests.lot_placement import lot_key
from quillring.lots.http_requests.lot_table import lot_records, with_lot
from tests.http_lot_stage import HOST, HttpLotStage, submit_accepted

LINK_BYTES_PER_SECOND = 15e6 / 8


def limit_bandwidth(stage, node):
    """Delay frames to a node as a link of LINK_BYTES_PER_SECOND (15 Mbit/s) does, in sequence."""
    net, free_at = stage.sim.net, [0.0]
    carry = net.carry

    def carry_slowly(source, target, data, kind):
        if tuple(target) != node.me.address or kind != "frame":
            return carry(source, target, data, kind)
        free_at[0] = max(free_at[0], stage.env.now) + len(data) / LINK_BYTES_PER_SECOND
        event = stage.env.timeout(free_at[0] - stage.env.now)
        event.callbacks.append(lambda _: carry(source, target, data, kind))

    net.carry = carry_slowly


def test_large_results_are_read_completely_over_a_slow_link():
    with HttpLotStage(9) as stage:
        submit_accepted(stage, "a", 40)
        stage.read_all("a")
        node = stage.sim.up_nodes("edge")[0]
        part, key = stage.part(), lot_key(HOST, "a")
        leader = stage.owner().find("ownership").leaders[part]
        records = [
            store.find("acceptors").parts[part]
            for store in stage.sim.up_nodes("store")
            if part in store.find("acceptors").parts
        ]
        for record in (leader.machine, *records):
            lot = lot_records(record.state)[key]
            results = [[name, state, b"x" * 20_000] for name, state, _ in lot["results"]]
            record.state = with_lot(record.state, key, {**lot, "results": results})
        limit_bandwidth(stage, node)
        start, pages = 0, []
        while start < 40 and len(pages) < 8:
            answer, error = stage.read("a", start, node=node)
            assert error is None, error
            pages.append(len(answer["results"]))
            start = answer["next"]
        assert sum(pages) == 40
