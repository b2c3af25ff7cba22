"""Days of faults drawn by seed over the traffic of a site file."""
