"""Scenarios on cut, slow and one-way links between nodes, and on the links of the back ends."""

import random
import time

from fleet import call, wait_until
from faults import cut, link_rules
from observe import change_tree, clock, in_force_or_stale, put_elsewhere, settled


def splits(fleet, options, facts):
    """The core two and two, three and one, one way, an edge and a core alone; changes and a revocation meanwhile."""
    facts["unplanned"] = True
    chance = random.Random(options.seed)
    fleet.start_caller("load", options.rate, options.seconds, options.seed)
    end = time.monotonic() + options.seconds
    rank = 0
    shapes = ["two-two", "three-one", "one-way", "edge", "core"]
    for shape in shapes:
        leader = wait_until(fleet.leader, 12, "a leader")
        others = [name for name in fleet.cores if name != leader]
        edges = chance.sample(fleet.edges, 4)
        if shape == "two-two":
            side = [leader, others[0]] + edges
            cut(fleet, side)
        elif shape == "three-one":
            side = [name for name in fleet.names if name not in [leader] + edges]
            cut(fleet, side)  # the leader is the one cut off
        elif shape == "one-way":
            side = [name for name in fleet.names if name != edges[0]]
            link_rules(fleet, [("*", edges[0], 1.0, 0)])  # it is heard and hears nobody
        else:
            alone = edges[0] if shape == "edge" else others[1]
            side = [name for name in fleet.names if name != alone]
            cut(fleet, [alone])
        rank = (rank + 1) % 10
        taken = put_within(fleet, side, change_tree(fleet, rank), 6)
        if taken:
            in_force_or_stale(fleet, taken, facts)
        time.sleep(1.5)
        link_rules(fleet, [])
        wait_until(lambda: settled(fleet), 20, "pairs whole again after " + shape)
        status, headers, _ = fleet.put_somewhere(change_tree(fleet, rank + 10 if rank < 0 else rank))
        if status == 200:  # everyone, those that were cut off included
            in_force_or_stale(fleet, headers["ETag"], facts, must_hold=True)
    remaining = end - time.monotonic()
    if remaining > 0:
        time.sleep(remaining)
    fleet.wait_caller("load", options.seconds + 60)


def put_within(fleet, side, tree, limit):
    """Puts through the nodes of one side; the sequence, or nothing where that side can take no change."""
    identity = "put-%d" % time.monotonic_ns()
    end = time.monotonic() + limit
    for name in side * 20:
        if time.monotonic() > end:
            return None
        status, headers, _ = fleet.put_configuration(name, tree, identity, timeout=4)
        if status == 200:
            return headers["ETag"]
    return None


def seeds_moved(fleet, options, facts):
    """The seeds are gone for good: nodes restart with other seeds, one of them dead, and find the fleet."""
    facts["planned"] = 1
    fleet.start_caller("load", options.rate, options.seconds, options.seed, extra={"follow_ready": True})
    moved = [fleet.control[name] for name in (fleet.edges[7], fleet.cores[3])] + ["127.0.0.1:1"]
    fleet.options.setdefault("settings", {})["seeds"] = moved
    for name in fleet.cores[:2] + fleet.edges[:2]:
        fleet.processes[name].end(15, 30)
        fleet.start_node(name)
        wait_until(lambda name=name: fleet.serves(name), 20, name + " ready")
        wait_until(lambda: settled(fleet), 20, "pairs whole again")
    status, headers, _ = fleet.put_somewhere(change_tree(fleet, 4))
    assert status == 200
    in_force_or_stale(fleet, headers["ETag"], facts, must_hold=True)
    fleet.wait_caller("load", options.seconds + 60)


def back_links(fleet, options, facts):
    """A slow link between replicas, a slow store, then an empty one, prefix events late, gapped and missing."""
    fleet.start_caller("load", options.rate, options.seconds, options.seed)
    step = options.seconds / 6

    def fault(kind, replicas):
        for replica in replicas:
            call(replica["address"], "POST", "/fault", {"kind": kind})

    fault("slow-link", fleet.replicas[::2])
    call(fleet.store, "POST", "/slow", {})
    time.sleep(step)
    call(fleet.store, "POST", "/empty", {})
    fault("late-events", fleet.replicas[::3])
    time.sleep(step)
    fault("gapped-events", fleet.replicas[1::3])
    time.sleep(step)
    fault("no-events", fleet.replicas[2::3])
    fleet.wait_caller("load", options.seconds + 60)


def pools(fleet, options, facts):
    """Every pool replaced replica by replica: marked, awaited, ended, another process under the same name."""
    facts["planned"] = 1
    fleet.start_caller("load", options.rate, options.seconds, options.seed)
    for replica in fleet.replicas[: max(4, int(options.seconds / 2))]:
        call(fleet.platform, "POST", "/drain", {"name": replica["name"], "drain": True})
        marked = clock()
        quiet = lambda: '"running":0' in call(replica["address"], "GET", "/load")[2]
        wait_until(lambda: clock() > marked + 1_500_000 and quiet(), 20, replica["name"] + " idle")
        fleet.processes[replica["name"]].end(9)
        fleet.start_replica(replica)
        wait_until(lambda: call(replica["address"], "GET", "/report?after=0")[0] == 200, 10, replica["name"])
        call(fleet.platform, "POST", "/drain", {"name": replica["name"], "drain": False})
    fleet.wait_caller("load", options.seconds + 60)
