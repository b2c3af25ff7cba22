"""The simulator: simpy drives the very state machines and scripts that production runs."""
