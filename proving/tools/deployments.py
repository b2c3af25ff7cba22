"""The two example deployments; as a program, writes their files under examples/."""

import json
import pathlib

ZONES = ("north", "east", "south", "west")
MODEL_CLASS = {"resumable": True, "repeatable": True}


def service_class(first_piece_ms, time_left_ms, urgency, share, queue=64, **more):
    """Return the settings of a service class; `more` are additional fields."""
    return {
        "first_piece_ms": first_piece_ms,
        "time_left_ms": time_left_ms,
        "urgency": urgency,
        "share": share,
        "queue": queue,
        **more,
    }


def layout_entry(service, class_name, prefix=None):
    """Return a layout entry."""
    return {"service": service, "class": class_name, **({"prefix": prefix} if prefix else {})}


DEPLOYMENTS = {
    "ferrowa": {
        "net": 41,
        "sizes": {"edge": 7, "core": 4, "store": 4},
        "replicas": [("words", 6, 8), ("map", 4, 16)],
        "layout": {
            "classes": {
                "traveller": service_class(1500, 20_000, 8, 0.5, 128, **MODEL_CLASS),
                "tile": service_class(1000, 3000, 9, 0.2, 128, resumable=False, repeatable=True),
                "boarding": service_class(5000, 60_000, 6, 0.2, 64, **MODEL_CLASS),
                "overnight": service_class(60_000, 600_000, 2, 0.1, 256, **MODEL_CLASS),
            },
            "services": {
                "words": {"kind": "model", "warm_up_ms": 4000, "stall_ms": 2000},
                "map": {"kind": "map", "warm_up_ms": 4000, "stall_ms": 1000},
            },
            "entries": {
                "wayfinding": layout_entry(
                    "words", "traveller", "You guide travellers in Ferrowa. "
                ),
                "wayfinding-lounge": layout_entry(
                    "words", "traveller", "You guide lounge guests. "
                ),
                "tagging": layout_entry("words", "overnight", "You tag listings of shops. "),
                "gate-notices": layout_entry("words", "boarding", "You rephrase gate changes. "),
                "tiles": layout_entry("map", "tile"),
            },
        },
    },
    "kilele": {
        "net": 42,
        "sizes": {"edge": 8, "core": 4, "store": 4},
        "replicas": [("words", 9, 6), ("checkout", 4, 16)],
        "layout": {
            "classes": {
                "hint": service_class(1500, 20_000, 8, 0.5, 128, **MODEL_CLASS),
                "seat": service_class(1000, 4000, 9, 0.2, 128, resumable=False, repeatable=True),
                "fraud": service_class(5000, 60_000, 6, 0.2, 64, **MODEL_CLASS),
                "review": service_class(60_000, 600_000, 2, 0.1, 256, **MODEL_CLASS),
            },
            "services": {
                "words": {"kind": "model", "warm_up_ms": 4000, "stall_ms": 2000},
                "checkout": {"kind": "checkout", "warm_up_ms": 4000, "stall_ms": 1000},
            },
            "entries": {
                "price-hints": layout_entry("words", "hint", "You hint at prices in Kilele. "),
                "seller-hints": layout_entry("words", "hint", "You advise sellers in Kilele. "),
                "seller-reviews": layout_entry("words", "review", "You review sellers. "),
                "fraud-reports": layout_entry("words", "fraud", "You judge fraud reports. "),
                "seats": layout_entry("checkout", "seat"),
            },
        },
    },
}


def settings_of(deployment):
    """Yield the settings of every node; each node has its own loopback address."""
    net, node_number, seeds = deployment["net"], 0, []
    for role in ("core", "store", "edge"):
        for i in range(deployment["sizes"][role]):
            node_number += 1
            host = f"127.0.{net}.{node_number}"
            fields = {
                "name": f"{role}-{i + 1}",
                "role": role,
                "domain": ZONES[i % 4],
                "address": f"{host}:7400",
                "http_address": f"{host}:8400",
                "seeds": seeds,
                "log_file": f"run/{role}-{i + 1}.log",
            }
            if role == "store":
                fields["folder"] = f"run/data/{role}-{i + 1}"
            if len(seeds) < 3:
                seeds.append(fields["address"])
            yield fields


def replicas_of(deployment):
    """Yield the name, service, domain, address and slots of every replica."""
    node_number = 100
    for service, count, slots in deployment["replicas"]:
        for i in range(count):
            node_number += 1
            yield {
                "name": f"{service}-{i + 1}",
                "service": service,
                "domain": ZONES[i % 4],
                "address": f"127.0.{deployment['net']}.{node_number}:9400",
                "slots": slots,
            }


def configuration_of(deployment):
    """Return the layout of a deployment, with its domains."""
    return {**deployment["layout"], "domains": {name: {"emptied": False} for name in ZONES}}


def write_examples(folder):
    """Write the example files of both deployments."""
    for name, deployment in DEPLOYMENTS.items():
        target = pathlib.Path(folder) / name
        (target / "settings").mkdir(parents=True, exist_ok=True)
        for fields in settings_of(deployment):
            path = target / "settings" / f"{fields['name']}.json"
            path.write_text(json.dumps(fields, indent=2) + "\n")
        rows = list(replicas_of(deployment))
        (target / "replicas.json").write_text(json.dumps(rows, indent=2) + "\n")
        (target / "layout.json").write_text(
            json.dumps(configuration_of(deployment), indent=2) + "\n"
        )


if __name__ == "__main__":
    write_examples("examples")
