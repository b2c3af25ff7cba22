"""The simulator: simpy drives the same state machines and coroutines that run in production."""
