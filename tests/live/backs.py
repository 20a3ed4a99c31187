"""The platform, the store, the application service and the replicas behind a fleet."""

import json


def listed(fleet):
    return [{key: value for key, value in replica.items() if key != "weights"} for replica in fleet.replicas]


def start_backs(fleet):
    listing = {
        "sequence": 0,
        "replicas": listed(fleet),
        "application": {"address": fleet.application},
        "store": {"address": fleet.store},
    }
    (fleet.folder / "list.json").write_text(json.dumps(listing))
    fleet.add(
        "platform",
        [
            fleet.program("stand-in-platform"),
            "--address",
            fleet.platform,
            "--list",
            str(fleet.folder / "list.json"),
            "--lag-milliseconds",
            str(fleet.options.get("lag", 500)),
            "--record",
            str(fleet.folder / "platform.jsonl"),
        ],
    )
    fleet.add("store", [fleet.program("stand-in-store"), "--address", fleet.store])
    fleet.add("application", [fleet.program("stand-in-application"), "--address", fleet.application])
    for replica in fleet.replicas:
        fleet.start_replica(replica)
