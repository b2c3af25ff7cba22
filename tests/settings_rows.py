"""Settings of one process, as its settings file holds them."""

EDGE_SETTINGS = {
    "name": "edge-1",
    "role": "edge",
    "domain": "north",
    "address": "127.0.0.1:7400",
    "http_address": "127.0.0.1:8400",
    "seeds": ["127.0.0.1:7401"],
}
