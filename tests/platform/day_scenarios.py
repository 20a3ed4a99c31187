"""Short scenarios on a day of the users' platform. Each is given a day that has been started."""

import copy
import json
import signal
import threading

from day import BOUNDS, wait_for, wait_until
from day_requests import KEYS, kinds, route

def traffic(day, seconds, rate=40, **more):
    day.do("traffic", **{"kinds": kinds(), "keys": KEYS, "rate": rate, "forMs": int(1000 * seconds), **more})


def served_share(day):
    counts = day.do("counts")[1]
    ended = sum(counts.get(name, 0) for name in ("served", "refused", "denied", "failed"))
    return counts.get("served", 0) / max(1, ended)


def calm(day, seconds):
    traffic(day, seconds)
    wait_for(seconds)
    day.settle()
    share = served_share(day)
    day.expect("nearly all requests of a calm day are served", share > 0.98, share)
    for path, outcomes in day.do("counts")[1]["paths"].items():
        day.expect("requests on %s are served" % path, outcomes.get("served", 0) > 0, outcomes)


def replica_crash(day, seconds):
    traffic(day, seconds)
    wait_for(1.5)
    for place in range(2):
        day.do("crash", addr=day.replica_options(place)["addr"])
    wait_for(2)
    day.do("start", replicas=[day.replica_options(place) for place in range(2)])
    wait_for(max(0.0, seconds - 3.5))


def drain(day, seconds):
    traffic(day, max(seconds, 11))
    wait_for(1)
    successor = day.replica_options(50, svc="plain", model="", reuseMs=1000 * BOUNDS["reuseS"])
    day.do("drain", addr=day.replica_options(0)["addr"], successor=successor)
    day.do("drain", addr=day.replica_options(1)["addr"])
    wait_for(max(seconds, 11))


def revoke(day, seconds):
    traffic(day, max(seconds, 14))
    wait_for(1.5)
    after = copy.deepcopy(day.configuration)
    after["ver"] += 3
    after["orgs"][2]["apiKeys"] = ["key-cat-9"]
    day.put(after)
    wait_for(max(seconds, 14) - 1)


def walls(day, seconds):
    """Tenants go behind walls, one after the other, when their requests have left parts that others use."""
    traffic(day, max(seconds, 12))
    for tenant in (2, 3):
        wait_for(2.5)
        after = copy.deepcopy(day.configuration)
        after["ver"] += 2
        after["orgs"][tenant]["isolated"] = True
        after["caps"]["hdrBytes"] *= 2
        day.put(after)
        wait_for(BOUNDS["applyMs"] / 1000)
    wait_for(3)


def config_race(day, seconds):
    traffic(day, seconds)
    for turn in range(3):
        wait_for(1)
        base, results = day.version, []

        def send(step, base=base, results=results):
            document = copy.deepcopy(day.configuration)
            document["ver"] = base + step
            document["routes"][2]["timeoutMs"] = 3000 + step
            results.append((document, day.do("change", base=base, document=document)[1]))

        threads = [threading.Thread(target=send, args=(step,)) for step in (2, 5)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(40)
        taken = [document for document, result in results if result["status"] == 200]
        told = [result for _, result in results]
        if day.expect("one of two at once prevails, turn %d" % turn, len(taken) == 1, told):
            day.version, day.configuration = taken[0]["ver"], taken[0]
    invalid(day)
    patch(day)
    read_back(day)


def invalid(day):
    """Each kind of invalid configuration is refused."""
    spoilt = {
        "a route of an unknown service": lambda document: document["routes"][0].update(svc="nobody"),
        "two routes alike": lambda document: document["routes"].append({**document["routes"][0], "name": "twin"}),
        "no time": lambda document: document["routes"][0].update(timeoutMs=0),
        "no weight": lambda document: document["routes"][0].update(svc="", split=[{"svc": "llm", "wt": 0}]),
        "a key twice": lambda document: document["orgs"][0]["apiKeys"].append("key-ben-1"),
        "a version not higher": lambda document: document.update(ver=day.version),
    }
    for what, spoil in spoilt.items():
        document = copy.deepcopy(day.configuration)
        document["ver"] += 1
        spoil(document)
        _, result = day.do("change", base=day.version, document=document, valid=False)
        day.expect("refused: " + what, 400 <= result["status"] < 500, result)


def patch(day):
    change = {"ver": day.version + 4, "upsert": {"routes": [route("more", "/more/", "idem", "plain")]},
              "remove": {"routes": ["read"]}}  # fmt: skip
    _, result = day.do("change", base=day.version, patch=change)
    day.expect("a change of named items is taken", result["status"] == 200, result)
    if result["status"] == 200:
        day.version = change["ver"]


def read_back(day):
    status, document = day.do("read", limitMs=BOUNDS["contactMs"])
    day.expect("the configuration is read back", status == 200 and document.get("ver") == day.version,
               json.dumps(document)[:100])  # fmt: skip


def weights(day, seconds):
    length = max(seconds, 2 + BOUNDS["verMs"] / 1000 + 3)
    traffic(day, length)
    wait_for(1.5)
    _, result = day.do("version", model="m0", ver=2)
    day.expect("a version of weights is acknowledged in time", result["status"] == 200, result)
    wait_for(length - 1)
    _, state = day.do("state", svc="llm")
    versions = [replica["models"][0]["ver"] for replica in state["replicas"]]
    day.expect("replicas have the new weights", set(versions) == {2}, versions)


def with_trouble(day, work):
    day.do("trouble", begin=True)
    work()
    day.do("trouble", begin=False)


def kill_edges(day, seconds):
    traffic(day, max(seconds, 9))
    wait_for(2)
    names = day.edges[: max(1, len(day.edges) // 4)]

    def lose():
        for name in names:
            day.kill(name)
        wait_for(2)
        for name in names:
            day.start_node(name)

    with_trouble(day, lose)
    wait_for(max(seconds, 9) - 4)


def kill_leader(day, seconds):
    """Who leads the configuration isn't seen from outside: each core machine in its turn."""
    traffic(day, max(seconds, 6 * len(day.cores)))
    for name in day.cores:

        def lose(name=name):
            day.kill(name)
            after = copy.deepcopy(day.configuration)
            after["ver"] += 2
            result = day.put(after, must=False)
            day.expect("a change is taken while %s is down" % name, result["status"] == 200, result)
            day.start_node(name)
            wait_for(2)

        with_trouble(day, lose)
    wait_for(BOUNDS["catchupS"])
    read_back(day)


def total_kill(day, seconds):
    after = copy.deepcopy(day.configuration)
    after["ver"] += 6
    day.put(after)
    day.do("trouble", begin=True)
    for name in day.cores + day.edges:
        day.processes[name].send(signal.SIGKILL)
    for name in day.cores + day.edges:
        day.kill(name)
    wait_for(0.5)
    for name in day.cores + day.edges:
        day.start_node(name)
    wait_for(BOUNDS["recoverS"])
    day.do("trouble", begin=False)
    traffic(day, seconds)
    wait_for(seconds)
    day.settle()
    day.expect("a quarter is served after the loss", served_share(day) > 0.25, served_share(day))
    read_back(day)


def cut_answers(day, seconds):
    traffic(day, seconds)
    day.do("faults", cut=0.15, reset=0.03, garble=0.03)
    wait_for(seconds)
    day.do("faults", cut=0, reset=0, garble=0)


def late_answers(day, seconds):
    traffic(day, seconds)
    day.do("faults", extra=0.1, late=0.1, closing=0.1)
    wait_for(seconds)
    day.do("faults", extra=0, late=0, closing=0)


def term_edge(day, seconds):
    traffic(day, max(seconds, 12))
    wait_for(2)
    day.processes[day.edges[0]].told = True
    day.processes[day.edges[0]].send(signal.SIGTERM)
    wait_until(lambda: not day.processes[day.edges[0]].running(), BOUNDS["graceS"] + 1, "end after SIGTERM")
    day.start_node(day.edges[0])
    wait_for(4)
    day.settle()
    counts = day.do("counts")[1]
    day.expect("a planned stop cuts no answer", counts.get("failed", 0) == 0, counts)


# What a scenario is there to judge: to see nothing of it is a failure as well.
ANY = ["MIXED", "UNASKED", "TWICE", "ROUTE", "CONFIG", "BUDGET", "ORDER", "STALE", "WALL"]
MUST_JUDGE = {
    "drain": ["DRAIN"],
    "config_race": ["LOST"],
    "walls": ["WALL"],
    "kill_leader": ["LOST"],
    "total_kill": ["LOST"],
    "weights": ["VERSION", "ONE"],
}

SCENARIOS = {
    work.__name__: work
    for work in (calm, replica_crash, drain, revoke, walls, config_race, weights, kill_edges, kill_leader, total_kill,
                 cut_answers, late_answers, term_edge)
}  # fmt: skip
