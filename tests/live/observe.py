"""What scenarios ask of a running fleet."""
import time

from fleet import call


def clock():
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000


def number(etag):
    term, count = etag.strip('"').split(".")
    return int(term), int(count)


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


def in_force_or_stale(fleet, etag, facts, must_hold=False):
    """As above for every node; one that is cut off may instead have stopped granting entry under what it holds."""
    began = time.monotonic()
    left = set(fleet.names)
    while left and time.monotonic() - began < 6:
        for name in sorted(left):
            status = fleet.status(name)
            if not status:
                continue
            holds = number(status["configuration_in_force"]) >= number(etag)
            stale = status["partitions"][0]["proof_age_microseconds"] > 1_500_000
            if holds or (stale and not must_hold):
                left.discard(name)
                facts.setdefault("in_force", []).append((name, time.monotonic() - began))
    for name in left:
        facts.setdefault("in_force", []).append((name, 99.0))


def change_tree(fleet, rank):
    tree = fleet.configuration()
    tree["root"]["rank"] = rank
    return tree


def safe(fleet, name):
    """Whether one more loss is safe, as that node says; nothing where it does not answer."""
    return (fleet.status(name) or {}).get("one_more_loss_safe")


def settled(fleet):
    """Every partition owned, every voter a living node."""
    statuses = [fleet.status(name) for name in fleet.names]
    if not all(statuses):
        return False
    living = {status["identity"] for status in statuses}
    for place, partition in enumerate(statuses[0]["partitions"]):
        leaders = [status for status in statuses if status["partitions"][place]["leads_here"]]
        if len(leaders) != 1:
            return False
        entry = leaders[0]["partitions"][place]
        if not set(entry["voters"]) <= living or not set(entry["followers"]) <= living:
            return False
    return True


def describe(fleet):
    """Who holds what, as every core node sees it; printed where a run gets stuck."""
    statuses = {name: fleet.status(name) for name in fleet.names if fleet.processes[name].running()}
    names = {status["identity"]: name for name, status in statuses.items() if status}
    for name in fleet.cores:
        for partition in (statuses.get(name) or {"partitions": []})["partitions"]:
            print(
                name,
                partition["name"],
                partition["term"],
                names.get(partition["leader"], partition["leader"]),
                [names.get(member, member) for member in partition["followers"]],
                [names.get(voter, voter) for voter in partition["voters"]],
                "owned here" if partition["leads_here"] else "",
                partition["sequence"],
                "proof ms",
                partition["proof_age_microseconds"] // 1000,
                "" if partition["disk_healthy"] else "disk sick",
            )


def put_elsewhere(fleet, name, tree):
    identity = "put-%d" % time.monotonic_ns()
    others = [other for other in fleet.names if other != name]
    for count in range(60):
        answer = fleet.put_configuration(others[count % len(others)], tree, identity)
        if answer[0] in (200, 400, 412, 422):
            return answer
    raise TimeoutError("configuration not taken")


def patch_configuration(fleet, name, patch, headers=None, kind="application/json-patch+json"):
    headers = {"Content-Type": kind, **(headers or {})}
    return call(fleet.http[name], "PATCH", "/control/configuration", patch, headers)
