"""The simulator: simpy drives the very state machines and coroutines that production runs."""
