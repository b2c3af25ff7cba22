"""Classes of service: terms, shares of capacity, and lending of idle capacity."""

from quillring.classes.fair_share import allocate
from quillring.classes.quota_client import QuotaClient
from quillring.classes.quota_server import QuotaServer
from quillring.classes.service_level import ServiceLevelMeter

__all__ = ["QuotaClient", "QuotaServer", "ServiceLevelMeter", "allocate"]
