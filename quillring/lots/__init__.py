"""Lots: accepted once durable in two domains, every item gets one result at its position."""

from quillring.lots.http_requests.item_executor import RawWorker
from quillring.lots.http_requests.quota_reconciler import RawQuota
from quillring.lots.http_requests.result_reads import RawReads
from quillring.lots.http_requests.scheduler import RawRunner
from quillring.lots.prompts.scheduler import LotRunner

__all__ = ["LotRunner", "RawQuota", "RawReads", "RawRunner", "RawWorker", "start_raw_lots"]


def start_raw_lots(node):
    """Let a core own, run and show raw lots; returns the coroutine that it runs by.

    The node's forwards, placement and dialect are there already.
    """
    node.offer("raw_worker", RawWorker(node))
    reads, runner = node.offer("raw_reads", RawReads(node)), node.offer("raw", RawRunner(node))
    node.find("ownership").leader_listeners.extend([runner.on_batch, reads.on_batch])
    quota = node.offer("raw_quota", RawQuota(node))
    node.spawn(quota.run())
    node.spawn(runner.demand.run())
    return runner.run()
