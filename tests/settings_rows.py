"""Valid settings of an edge process, in the form of its settings file."""

EDGE_SETTINGS = {
    "name": "edge-1",
    "role": "edge",
    "domain": "north",
    "address": "127.0.0.1:7400",
    "http_address": "127.0.0.1:8400",
    "seeds": ["127.0.0.1:7401"],
}
