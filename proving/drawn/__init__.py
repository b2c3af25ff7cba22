"""Days of random faults, drawn from a seed, over the traffic of a site file."""
