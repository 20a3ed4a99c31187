"""Faults from outside the nodes: the relay on their links, the shim in their processes."""

import json
import os

from processes import call


def start_relay(fleet):
    plan = {"nodes": [{"advertised": fleet.control[name], "listens": fleet.listens(name)} for name in fleet.names]}
    path = fleet.folder / "relay.json"
    path.write_text(json.dumps(plan))
    fleet.relay = "127.0.0.1:%d" % (fleet.base + 103)
    fleet.add("relay", [fleet.program("stand-in-relay"), "--address", fleet.relay, "--plan", str(path)])


def link_rules(fleet, rules):
    """Rules as (from, to, drop, delay in milliseconds), by node names or "*"; the first that fits counts."""
    address = dict(fleet.control, **{"*": "*"})
    told = [
        {"from": address[start], "to": address[end], "drop": drop, "delay_milliseconds": delay}
        for start, end, drop, delay in rules
    ]
    status, _, text = call(fleet.relay, "PUT", "/rules", told)
    assert status == 200, text


def cut(fleet, side):
    """Cuts one side of the fleet off the other, both ways."""
    inside, outside = set(side), set(fleet.names) - set(side)
    rules = [(one, two, 1.0, 0) for one in inside for two in outside]
    link_rules(fleet, rules + [(two, one, 1.0, 0) for one, two, _, _ in rules])


def shim_environment(fleet, name):
    return dict(
        os.environ, LD_PRELOAD=fleet.program("libdockrock-fault-shim.so"), DOCKROCK_SHIM_FILE=shim_file(fleet, name)
    )


def shim_file(fleet, name):
    return str(fleet.folder / (name + ".faults"))


def sicken(fleet, name, *lines):
    """What the shim does in one process from now on: "slow 200", "stall", "full", "clock -3600"; nothing: well."""
    with open(shim_file(fleet, name) + ".new", "w") as file:
        file.write("".join(line + "\n" for line in lines))
    os.replace(shim_file(fleet, name) + ".new", shim_file(fleet, name))
