"""Scenarios of sick disks, jumping wall clocks and the loss of every core disk."""

import json
import time

from fleet import call, wait_until
from faults import sicken
from observe import change_tree, in_force_everywhere, settled


def out_of_duty(fleet, name):
    """What a node says of its disk while that has no duties; nothing while it has them."""
    status, metrics = fleet.status(name), fleet.metrics(name)
    return status["disk"] if status["disk"] != "well" and metrics["disk_out_of_duty"] == 1 else None


def start_on_sick_disk(fleet, name, fault, rank, facts):
    """Killed and started while its disk is full or stalls: up at once, no duties, then who it was."""
    identity = fleet.status(name)["identity"]
    fleet.kill(name)
    sicken(fleet, name, fault)
    fleet.start_node(name)
    wait_until(lambda: fleet.status(name), 8, "an answer by %s on a disk in trouble" % name)
    state = wait_until(lambda: out_of_duty(fleet, name), 4, "%s saying that its disk is in trouble" % name)
    if state not in ("loading", "failed") or fleet.status(name)["identity"] == identity:
        facts.setdefault("stuck", []).append((name, fault, state))
    status, headers, text = fleet.put_somewhere(change_tree(fleet, rank))
    if status != 200:
        facts.setdefault("stuck", []).append((fault, "at start", status, text))
    in_force_everywhere(fleet, headers.get("ETag", '"0.0"'), facts)
    sicken(fleet, name)
    wait_until(lambda: fleet.status(name)["identity"] == identity, 10, "%s as the node that it was" % name)


def sick_disks(fleet, options, facts):
    """The leader's disk slow, stalled, full, then full and stalled at a start: changes go on, tickets are served, and
    each node is back in duty without a further restart."""
    facts["unplanned"] = True
    fleet.start_caller("load", options.rate, options.seconds, options.seed)
    for rank, fault in enumerate(("slow 150", "stall", "full")):
        leader = wait_until(fleet.leader, 12, "a leader")
        sicken(fleet, leader, fault)
        status, headers, text = fleet.put_somewhere(change_tree(fleet, rank + 1))
        if status != 200:
            facts.setdefault("stuck", []).append((fault, status, text))
        in_force_everywhere(fleet, headers.get("ETag", '"0.0"'), facts)
        if fault != "slow 150":
            wait_until(lambda: out_of_duty(fleet, leader), 4, "%s saying that its disk is in trouble" % leader)
        time.sleep(1.0)
        sicken(fleet, leader)
        wait_until(lambda: not out_of_duty(fleet, leader), 5, "%s back in duty after %s" % (leader, fault))
        wait_until(lambda: settled(fleet), 20, "groups whole again after " + fault)
    if not fleet.metrics(leader)["disk_repairs_total"]:
        facts.setdefault("stuck", []).append("%s wrote nothing anew after its disk was full" % leader)
    for rank, fault in enumerate(("full", "stall"), 4):
        start_on_sick_disk(fleet, wait_until(fleet.leader, 12, "a leader"), fault, rank, facts)
        wait_until(lambda: settled(fleet), 20, "groups whole again after a start on a disk that is " + fault)
    fleet.wait_caller("load", options.seconds + 60)


def clocks(fleet, options, facts):
    """Wall clocks jump an hour on and a day back, on the leader, its follower and edges: nothing may notice."""
    facts["planned"] = 1
    fleet.start_caller("load", options.rate, options.seconds, options.seed)
    leader = fleet.leader()
    before = fleet.status(leader)["partitions"][0]["term"]
    for rank, jump in enumerate((3600, -86400, 100000000, 0)):
        for name in [leader] + fleet.cores[:2] + fleet.edges[::2]:
            sicken(fleet, name, "clock %d" % jump)
        status, headers, text = fleet.put_somewhere(change_tree(fleet, rank + 1))
        assert status == 200, text
        in_force_everywhere(fleet, headers["ETag"], facts)
        time.sleep(1.0)
    after = fleet.status(leader)["partitions"][0]["term"]
    if after != before:
        facts.setdefault("stuck", []).append("the leader of the configuration changed under a clock jump")
    fleet.wait_caller("load", options.seconds + 60)


def lost_disks(fleet, options, facts):
    """Every core disk lost while edges live: nothing forms by itself, the operator's order brings it back."""
    facts["unplanned"] = True
    fleet.start_caller("load", options.rate, options.seconds, options.seed)
    status, headers, _ = fleet.put_somewhere(change_tree(fleet, 7))
    in_force_everywhere(fleet, headers["ETag"], facts)
    for name in fleet.cores:
        fleet.kill(name)
        fleet.wipe(name)
    for name in fleet.cores:
        fleet.start_node(name)
    order = {"fleet": fleet.deployment["name"]}
    wrong = call(fleet.http[fleet.edges[0]], "POST", "/control/form-anew", {"fleet": "another"})
    if wrong[0] != 400:
        facts.setdefault("stuck", []).append(("another fleet's name", wrong[0]))
    wait_until(
        lambda: len(json.loads(call(fleet.http[fleet.edges[3]], "GET", "/control/status")[2])["members"]) >= 13,
        10,
        "members",
    )

    def formed():
        return call(fleet.http[fleet.edges[3]], "POST", "/control/form-anew", order, timeout=20)[0] == 200

    wait_until(formed, 30, "formed anew")
    wait_until(lambda: settled(fleet), 20, "pairs whole again")
    status, _, tree = fleet.get_configuration(fleet.edges[5])
    facts["reads"] = 1
    if status != 200 or tree != change_tree(fleet, 7):
        facts["wrong_reads"] = ["after forming anew %s" % status]
    again = call(fleet.http[fleet.edges[3]], "POST", "/control/form-anew", order, timeout=20)[0]
    if again != 409:
        facts.setdefault("stuck", []).append(("formed anew twice", again))
    fleet.wait_ready()
    fleet.start_caller("after", options.rate, 4, options.seed)
    fleet.wait_caller("after", 60)
    fleet.wait_caller("load", options.seconds + 60)
