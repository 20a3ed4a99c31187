"""Runs a whole fleet through a scenario and prints a verdict for every rule.

  python3 scripts/prove.py --deployment magnolia-junction --scenario steady --seconds 20
"""
import argparse
import json
import pathlib
import random
import sys
import tempfile
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
import fleet as fleet_module
import verdict
from fleet import call, wait_until


def clock():
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000


def in_force_everywhere(fleet, etag, facts, names=None):
    """Measures how long after the acknowledgement each edge holds the sequence."""
    began = time.monotonic()
    wanted = number(etag)
    left = set(names or fleet.edges)
    while left and time.monotonic() - began < 6:
        for name in sorted(left):
            status = fleet.status(name)
            if status and number(status["configuration_in_force"]) >= wanted:
                left.discard(name)
                facts.setdefault("in_force", []).append((name, time.monotonic() - began))
    for name in left:
        facts.setdefault("in_force", []).append((name, 99.0))


def number(etag):
    epoch, count = etag.strip('"').split(".")
    return int(epoch), int(count)


def change_tree(fleet, rank):
    tree = fleet.configuration()
    tree["root"]["rank"] = rank
    return tree


def steady(fleet, options, facts):
    facts["planned_only"] = True
    fleet.start_caller("load", options.rate, options.seconds, options.seed)
    status, headers, text = fleet.put_somewhere(change_tree(fleet, 4))
    assert status == 200, text
    in_force_everywhere(fleet, headers["ETag"], facts)
    fleet.wait_caller("load", options.seconds + 40)


def kills(fleet, options, facts):
    """Kills nodes one at a time under traffic, core owners included, some losing their disk."""
    chance = random.Random(options.seed)
    fleet.start_caller("load", options.rate, options.seconds, options.seed)
    end = time.monotonic() + options.seconds - 4
    while time.monotonic() < end:
        name = chance.choice([fleet.owner(), chance.choice(fleet.cores), chance.choice(fleet.edges)]) or fleet.cores[0]
        fleet.kill(name)
        if name in fleet.cores and chance.random() < 0.4:
            fleet.wipe(name)
        status, headers, _ = fleet.put_somewhere(change_tree(fleet, chance.randrange(10)))
        others = [edge for edge in fleet.edges if edge != name]
        in_force_everywhere(fleet, headers["ETag"], facts, others)
        fleet.start_node(name)
        wait_until(lambda: settled(fleet), 20, "pairs whole again")
    fleet.wait_caller("load", options.seconds + 40)


def settled(fleet):
    """Every part owned, every voter a living node."""
    statuses = [fleet.status(name) for name in fleet.names]
    if not all(statuses):
        return False
    living = {status["identity"] for status in statuses}
    for place, part in enumerate(statuses[0]["parts"]):
        owners = [status for status in statuses if status["parts"][place]["owned_here"]]
        if len(owners) != 1:
            return False
        entry = owners[0]["parts"][place]
        if not set(entry["voters"]) <= living or entry["understudy"] not in living:
            return False
    return True


def rolling(fleet, options, facts):
    """A polite restart of every node, one after another, and a changed configuration, under traffic."""
    facts["planned_only"] = True
    fleet.start_caller("load", options.rate, options.seconds, options.seed)
    for name in fleet.edges + fleet.cores:
        code = fleet.processes[name].end(15, 30)
        if code != 0:
            facts.setdefault("stuck", []).append("%s stopped with %s" % (name, code))
        fleet.start_node(name)
        wait_until(lambda: fleet.ready(name), 20, name + " ready")
        if name in fleet.cores:
            wait_until(lambda: settled(fleet), 20, "pairs whole again")
    status, headers, text = fleet.put_somewhere(change_tree(fleet, 5))
    in_force_everywhere(fleet, headers["ETag"], facts)
    fleet.wait_caller("load", options.seconds + 40)


def drains(fleet, options, facts):
    facts["planned_only"] = True
    fleet.start_caller("load", options.rate, options.seconds, options.seed)
    for replica in fleet.replicas[:: max(1, len(fleet.replicas) // 4)]:
        call(fleet.platform, "POST", "/drain", {"name": replica["name"], "drain": True})
        time.sleep(options.seconds / 8)
    fleet.wait_caller("load", options.seconds + 40)


def revoke(fleet, options, facts):
    facts["planned_only"] = True
    fleet.start_caller("load", options.rate, options.seconds, options.seed)
    time.sleep(options.seconds / 4)
    tree = fleet.configuration()
    tenant = fleet.deployment["tenants"][-1]["name"]

    def without_key(branch):
        for item in branch.get("tenants", []):
            if item["name"] == tenant:
                item["keys"] = []
        for group in branch.get("groups", []):
            without_key(group)

    without_key(tree["root"])
    status, headers, text = fleet.put_somewhere(tree)
    assert status == 200, text
    facts["revoked"] = [(tenant, clock())]
    in_force_everywhere(fleet, headers["ETag"], facts)
    fleet.wait_caller("load", options.seconds + 40)


def weights(fleet, options, facts):
    facts["planned_only"] = True
    fleet.start_caller("load", options.rate, options.seconds, options.seed)
    for pool in fleet.deployment["replicas"]:
        name = pool["model"] + "-next"
        began = time.monotonic()
        status, _, text = call(fleet.http[fleet.edges[0]], "PUT", "/control/services/%s/weights" % pool["model"], {"weights": name})
        assert status == 200, text
        pool_replicas = [replica for replica in fleet.replicas if replica["model"] == pool["model"]]

        def all_changed():
            return all(json.loads(call(replica["address"], "GET", "/report?after=0")[2] or "{}").get("weights") == name for replica in pool_replicas)

        try:
            wait_until(all_changed, 25, "weights")
            facts.setdefault("weights", []).append((name, time.monotonic() - began))
        except TimeoutError:
            facts.setdefault("weights", []).append((name, 99.0))
    fleet.wait_caller("load", options.seconds + 60)


def races(fleet, options, facts):
    """Operators racing with the same condition, bad and large configurations, read back at the end."""
    chance = random.Random(options.seed)
    fleet.start_caller("load", options.rate, options.seconds, options.seed)
    facts["planned_only"] = True
    end = time.monotonic() + options.seconds - 2
    last = None
    facts["reads"] = 0
    while time.monotonic() < end:
        _, etag, _ = fleet.get_configuration(fleet.edges[0])
        results = []

        def one(rank, name):
            tree = change_tree(fleet, rank)
            results.append((fleet.put_configuration(name, tree, if_match=etag), tree))

        threads = [threading.Thread(target=one, args=(rank, chance.choice(fleet.names))) for rank in chance.sample(range(10), 4)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        won = [tree for (status, _, _), tree in results if status == 200]
        if len(won) > 1 or any(status not in (200, 412) for (status, _, _), _ in results):
            facts.setdefault("wrong_reads", []).append([status for (status, _, _), _ in results])
        last = won[0] if won else last
        bad = change_tree(fleet, 99)
        status, _, text = fleet.put_configuration(chance.choice(fleet.names), bad)
        if status != 400 or "/root/rank" not in text:
            facts.setdefault("wrong_reads", []).append(("bad configuration", status))
        status, _, _ = fleet.put_configuration(chance.choice(fleet.names), json.dumps(change_tree(fleet, 1)) + " " * (1 << 20))
        if status != 413:
            facts.setdefault("wrong_reads", []).append(("large configuration", status))
        for name in chance.sample(fleet.names, 3):
            status, _, got = fleet.get_configuration(name)
            facts["reads"] += 1
            if status != 200 or got != last:
                facts.setdefault("wrong_reads", []).append((name, status))
    fleet.wait_caller("load", options.seconds + 40)


def freezes(fleet, options, facts):
    chance = random.Random(options.seed)
    fleet.start_caller("load", options.rate, options.seconds, options.seed)
    end = time.monotonic() + options.seconds - 5
    while time.monotonic() < end:
        name = chance.choice([fleet.owner() or fleet.cores[0], chance.choice(fleet.names)])
        fleet.freeze(name)
        status, headers, _ = put_elsewhere(fleet, name, change_tree(fleet, chance.randrange(10)))
        in_force_everywhere(fleet, headers["ETag"], facts, [edge for edge in fleet.edges if edge != name])
        fleet.wake(name)
        wait_until(lambda: settled(fleet), 20, "pairs whole again")
    fleet.wait_caller("load", options.seconds + 60)


def describe(fleet):
    """Who holds what, as every core node sees it; printed where a run gets stuck."""
    statuses = {name: fleet.status(name) for name in fleet.names if fleet.processes[name].running()}
    names = {status["identity"]: name for name, status in statuses.items() if status}
    for name in fleet.cores:
        for part in (statuses.get(name) or {"parts": []})["parts"]:
            print(name, part["name"], part["epoch"], names.get(part["primary"], part["primary"]), names.get(part["understudy"], part["understudy"]), [names.get(voter, voter) for voter in part["voters"]],
                  "owned here" if part["owned_here"] else "", part["sequence"], "proof ms", part["proof_age_microseconds"] // 1000, "" if part["disk_healthy"] else "disk sick")


def put_elsewhere(fleet, name, tree):
    identity = "put-%d" % time.monotonic_ns()
    others = [other for other in fleet.names if other != name]
    for count in range(60):
        answer = fleet.put_configuration(others[count % len(others)], tree, identity)
        if answer[0] in (200, 400, 412, 422):
            return answer
    raise TimeoutError("configuration not taken")


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
        call(replica["address"], "POST", "/fault", {"kind": chance.choice(["crash-before", "crash-during", "crash-after", "repeat-piece"])})
        process = fleet.processes[replica["name"]]
        try:
            wait_until(lambda: not process.running(), 2, "crash")
        except TimeoutError:
            fleet.kill(replica["name"])
        fleet.start_replica(replica)
    fleet.wait_caller("load", options.seconds + 40)


def overload(fleet, options, facts):
    """Far more than the replicas can do: what is given up is told at once, with Retry-After."""
    facts["planned_only"] = True
    fleet.start_caller("load", options.rate * 8, options.seconds, options.seed)
    fleet.wait_caller("load", options.seconds + 60)


def planted(fleet, options, facts):
    """A planted fault: the same run-once tickets sent twice through different edges. The verdict must catch it."""
    facts["planned_only"] = True
    half = len(fleet.edges) // 2
    for label, targets in (("first", fleet.edges[:half]), ("second", fleet.edges[half:])):
        process = fleet.start_caller(label, options.rate, 4, options.seed, [fleet.http[name] for name in targets], extra={"label": "same"})
        wait_until(lambda: not process.running(), 60, "caller")


SCENARIOS = {scenario.__name__: scenario for scenario in (steady, kills, rolling, drains, revoke, weights, races, freezes, total_loss, crashes, overload, planted)}


def run(options, scenario):
    folder = pathlib.Path(options.folder or tempfile.mkdtemp(prefix="dockrock-"))
    fleet = fleet_module.Fleet(options.deployment, folder, options.build, options.port)
    facts = {"nodes": len(fleet.names)}
    try:
        fleet.start()
        SCENARIOS[scenario](fleet, options, facts)
    except TimeoutError as stuck:
        describe(fleet)
        facts.setdefault("stuck", []).append(str(stuck))
    finally:
        facts["died"] = fleet.died()
        fleet.stop()
    once = {kind["name"] for kind in fleet.deployment["kinds"] if kind["run_once"]}
    verdicts, records = verdict.judge(folder, once, facts)
    print("== %s, %s, seed %d" % (options.deployment, scenario, options.seed))
    print(verdict.summary(records))
    for rule, held, seen in verdicts:
        print("  %s  %s (%s)" % ("held  " if held else "BROKEN", rule, seen))
    return all(held for _, held, _ in verdicts)


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--deployment", default="magnolia-junction", choices=["magnolia-junction", "registrikeskus-tallinn"])
    parser.add_argument("--scenario", default="steady", help="one of %s, or all" % ", ".join(SCENARIOS))
    parser.add_argument("--seconds", type=float, default=15)
    parser.add_argument("--rate", type=float, default=40, help="tickets each second")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--build", default="build")
    parser.add_argument("--folder", default="")
    parser.add_argument("--port", type=int, default=21000)
    options = parser.parse_args()
    names = [name for name in SCENARIOS if name != "planted"] if options.scenario == "all" else options.scenario.split(",")
    good = [run(options, name) for name in names]
    print("verdict: %s" % ("every rule held" if all(good) else "a rule was broken"))
    return 0 if all(good) else 1


if __name__ == "__main__":
    sys.exit(main())
