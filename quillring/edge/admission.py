"""Whether this node may take new work at all: the same rule for every kind of inquiry."""

from quillring.kernel.errors import Refused


def check_open(node):
    """Refuse whatever comes in anew while this node drains or its domain is emptied."""
    if node.is_draining:
        raise Refused(reason="draining")
    if node.find("layout").is_zone_draining(node.me.zone):
        raise Refused(reason="the domain is emptied", domain=node.me.zone)


def check_admission(node):
    """Refuse new work here, also while the layout may be old."""
    check_open(node)
    node.find("freshness").check()
