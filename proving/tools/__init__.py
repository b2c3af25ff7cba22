"""Tools that run a fleet as processes on one machine, with its callers, replicas and faults."""
