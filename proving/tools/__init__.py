"""Plain processes on one machine: a fleet, its callers and back ends, days and storms."""
