"""What is done to a running fleet: traffic, kills, restarts, changes, races."""
import random
import threading
import time

from bad_input import bad_input
from fleet import call, wait_until
from observe import change_tree, clock, in_force_everywhere, put_elsewhere, safe, settled
from scenarios_changes import races, revoke, weights
from scenarios_disks import clocks, lost_disks, sick_disks
from scenarios_links import back_links, pools, seeds_moved, splits
from scenarios_own import light, takeover


def steady(fleet, options, facts):
    facts["planned"] = 1
    fleet.start_caller("load", options.rate, options.seconds, options.seed)
    status, headers, text = fleet.put_somewhere(change_tree(fleet, 4))
    assert status == 200, text
    in_force_everywhere(fleet, headers["ETag"], facts)
    fleet.wait_caller("load", options.seconds + 40)


def kills(fleet, options, facts):
    """Kills nodes one at a time under traffic, core leaders included, some losing their disk."""
    chance = random.Random(options.seed)
    fleet.start_caller("load", options.rate, options.seconds, options.seed)
    end = time.monotonic() + options.seconds - 4
    while time.monotonic() < end:
        name = chance.choice([fleet.leader(), chance.choice(fleet.cores), chance.choice(fleet.edges)]) or fleet.cores[0]
        fleet.kill(name)
        if name in fleet.cores:
            watcher = fleet.edges[0] if name != fleet.edges[0] else fleet.edges[1]
            wait_until(lambda: safe(fleet, watcher) is False, 10, "status says that one is lost")
        if name in fleet.cores and chance.random() < 0.4:
            fleet.wipe(name)
        status, headers, _ = fleet.put_somewhere(change_tree(fleet, chance.randrange(10)))
        others = [edge for edge in fleet.edges if edge != name]
        in_force_everywhere(fleet, headers["ETag"], facts, others)
        fleet.start_node(name)
        wait_until(lambda: settled(fleet), 20, "pairs whole again")
        wait_until(lambda: safe(fleet, fleet.edges[0]), 10, "status says that one more is safe")
    fleet.wait_caller("load", options.seconds + 40)


def rolling(fleet, options, facts):
    """A polite restart of every node, one after another, and a changed configuration, under traffic."""
    facts["planned"] = 1
    fleet.start_caller("load", options.rate, options.seconds, options.seed, extra={"follow_ready": True})
    for name in fleet.edges + fleet.cores:
        code = fleet.processes[name].end(15, 30)
        if code != 0:
            facts.setdefault("stuck", []).append("%s stopped with %s" % (name, code))
        fleet.start_node(name)
        wait_until(lambda: fleet.serves(name), 20, name + " ready")
        if name in fleet.cores:
            wait_until(lambda: settled(fleet), 20, "pairs whole again")
    status, headers, text = fleet.put_somewhere(change_tree(fleet, 5))
    in_force_everywhere(fleet, headers["ETag"], facts)
    fleet.wait_caller("load", options.seconds + 40)


def drains(fleet, options, facts):
    facts["planned"] = 1
    fleet.start_caller("load", options.rate, options.seconds, options.seed)
    for replica in fleet.replicas[:: max(1, len(fleet.replicas) // 4)]:
        call(fleet.platform, "POST", "/drain", {"name": replica["name"], "drain": True})
        time.sleep(options.seconds / 8)
    fleet.wait_caller("load", options.seconds + 40)


def freezes(fleet, options, facts):
    chance = random.Random(options.seed)
    fleet.start_caller("load", options.rate, options.seconds, options.seed)
    end = time.monotonic() + options.seconds - 5
    while time.monotonic() < end:
        name = chance.choice([fleet.leader() or fleet.cores[0], chance.choice(fleet.names)])
        fleet.freeze(name)
        status, headers, _ = put_elsewhere(fleet, name, change_tree(fleet, chance.randrange(10)))
        in_force_everywhere(fleet, headers["ETag"], facts, [edge for edge in fleet.edges if edge != name])
        fleet.wake(name)
        wait_until(lambda: settled(fleet), 20, "pairs whole again")
    fleet.wait_caller("load", options.seconds + 60)


def total_loss(fleet, options, facts):
    """Every process of the system killed at once, disks kept; then a few seconds of traffic."""
    tree = change_tree(fleet, 7)
    fleet.put_somewhere(tree)
    for name in fleet.names:
        fleet.processes[name].told = True
        fleet.processes[name].send(9)
    for name in fleet.names:
        fleet.processes[name].end()
    began = time.monotonic()
    fleet.start_nodes()
    fleet.wait_ready(limit=30)
    facts["back_after_loss"] = [round(time.monotonic() - began, 2)]
    status, _, got = fleet.get_configuration(fleet.edges[0])
    facts["reads"] = 1
    if got != tree:
        facts["wrong_reads"] = [("after total loss", status)]
    fleet.start_caller("load", options.rate, options.seconds, options.seed)
    fleet.wait_caller("load", options.seconds + 40)


def crashes(fleet, options, facts):
    """Replicas crash before, during and after the first piece, and come back; a pool is replaced one by one."""
    chance = random.Random(options.seed)
    fleet.start_caller("load", options.rate, options.seconds, options.seed)
    end = time.monotonic() + options.seconds - 3
    while time.monotonic() < end:
        replica = chance.choice(fleet.replicas)
        call(
            replica["address"],
            "POST",
            "/fault",
            {"kind": chance.choice(["crash-before", "crash-during", "crash-after", "repeat-piece"])},
        )
        process = fleet.processes[replica["name"]]
        try:
            wait_until(lambda: not process.running(), 2, "crash")
        except TimeoutError:
            fleet.kill(replica["name"])
        fleet.start_replica(replica)
    fleet.wait_caller("load", options.seconds + 40)


def overload(fleet, options, facts):
    """Far more than the replicas can do: what is given up is told at once, with Retry-After."""
    fleet.start_caller("load", options.rate * 16, options.seconds, options.seed)
    fleet.wait_caller("load", options.seconds + 60)


def twice(fleet, options, facts):
    """Every run-once ticket through two nodes, at once or after a broken connection, while leaders of claims die."""
    plan = {"twice": 1.0}
    fleet.start_caller("load", options.rate, options.seconds, options.seed, extra=plan)
    end = time.monotonic() + options.seconds - 2
    chance = random.Random(options.seed)
    while time.monotonic() < end:
        name = fleet.leader("service-%d" % chance.randrange(3)) or chance.choice(fleet.cores)
        if chance.random() < 0.3:
            fleet.freeze(name)
            time.sleep(chance.uniform(0.5, 2.5))
            fleet.wake(name)
        else:
            fleet.kill(name)
            time.sleep(0.5)
            fleet.start_node(name)
        wait_until(lambda: settled(fleet), 20, "pairs whole again")
    fleet.wait_caller("load", options.seconds + 40)


def planted(fleet, options, facts):
    """A planted fault: run-once tickets sent twice and not marked as such. The verdict must catch it."""
    half = len(fleet.edges) // 2
    for label, targets in (("first", fleet.edges[:half]), ("second", fleet.edges[half:])):
        process = fleet.start_caller(
            label,
            options.rate,
            4,
            options.seed,
            [fleet.http[name] for name in targets],
            extra={"label": "same", "run_once_told": False},
        )
        wait_until(lambda: not process.running(), 60, "caller")


SCENARIOS = {
    scenario.__name__: scenario
    for scenario in (
        steady,
        kills,
        takeover,
        light,
        rolling,
        drains,
        revoke,
        weights,
        races,
        freezes,
        total_loss,
        crashes,
        overload,
        bad_input,
        twice,
        splits,
        seeds_moved,
        back_links,
        pools,
        sick_disks,
        clocks,
        lost_disks,
        planted,
    )
}
