"""Model checker of the quorum: runs the production state machines under every order of events.

`python -m proving.model` explores small worlds breadth first. See docs/model.md.
"""
