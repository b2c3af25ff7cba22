"""The entries chosen at each index of a small log, and the state after each of them."""

from quillring.quorum.commands import apply_batch, initial_state

GROUP = [[f"store-{n}", f"store-{n}.1", f"zone-{n}"] for n in (1, 2, 3)]
ENTRY_COUNT = 8


def batch_of(index):
    """Return the batch that was chosen at an index."""
    return [
        {"do": "lot.accept", "lot": f"lot-{index}", "sender": "s", "entry": "e", "items": ["x"]}
    ]


def chosen_states():
    """Return the state after each index, by applying the chosen batches in order."""
    states = [initial_state(GROUP)]
    for index in range(1, ENTRY_COUNT + 1):
        states.append(apply_batch(states[-1], batch_of(index))[0])
    return states


CHOSEN = chosen_states()
