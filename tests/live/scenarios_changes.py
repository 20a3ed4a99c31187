"""Scenarios of what operators change: keys, weights, configurations in races."""

import http.client
import json
import random
import threading
import time

from fleet import call, wait_until
from observe import change_tree, clock, in_force_everywhere, patch_configuration


def revoke(fleet, options, facts):
    facts["planned"] = 1
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
    victim = fleet.deployment["tenants"][-1]
    held_open = [KeptOpen(fleet, edge, victim, path) for edge in fleet.edges[:4] for path in KeptOpen.PATHS]
    for connection in held_open:
        if connection.ask() != 200:
            facts.setdefault("stuck", []).append("no answer on the connection kept open to " + connection.path)
    status, headers, text = fleet.put_somewhere(tree)
    assert status == 200, text
    acknowledged = clock()
    facts["revoked"] = [(tenant, acknowledged)]
    in_force_everywhere(fleet, headers["ETag"], facts)
    latest = 0
    while clock() < acknowledged + 6_000_000:  # asked all the while, on the same connections
        for connection in held_open:
            began = clock()
            if connection.ask() == 200:
                latest = max(latest, began - acknowledged)
                if latest > 5_000_000:
                    facts.setdefault("revoked_alive", []).append((connection.path, latest))
        time.sleep(0.1)
    facts["kept_open"] = sum(1 for connection in held_open if connection.kept)
    print(
        "latest use of the revoked key on %d kept-open connections %d ms after" % (facts["kept_open"], latest // 1000)
    )
    fleet.wait_caller("load", options.seconds + 40)


class KeptOpen:
    """One connection kept open, as a caller's pool keeps it."""

    PATHS = ("/v1/generate", "/application/lookup")

    def __init__(self, fleet, edge, tenant, path):
        host, port = fleet.http[edge].split(":")
        self.connection = http.client.HTTPConnection(host, int(port), timeout=10)
        self.connection.connect()
        self.connection.auto_open = 0  # closed once, it stays closed
        self.tenant, self.kind, self.path, self.kept = tenant, fleet.deployment["kinds"][-1], path, True

    def ask(self):
        body = {
            "model": self.kind["model"],
            "kind": self.kind["name"],
            "max_tokens": 16,
            "tenant": self.tenant["name"],
            "run_once": False,
        }
        headers = {"Authorization": "Bearer " + self.tenant["key"], "Tenant": self.tenant["name"]}
        try:
            self.connection.request("POST", self.path, json.dumps(body), headers)
            answer = self.connection.getresponse()
            answer.read()
            return answer.status
        except (OSError, http.client.HTTPException):
            self.kept = False  # a node that went to rest lets its connections go
            return 0


def weights(fleet, options, facts):
    facts["planned"] = 1
    fleet.start_caller("load", options.rate, options.seconds, options.seed)
    for pool in fleet.deployment["replicas"]:
        name = pool["model"] + "-next"
        began = time.monotonic()
        status, _, text = call(
            fleet.http[fleet.edges[0]], "PUT", "/control/services/%s/weights" % pool["model"], {"weights": name}
        )
        assert status == 200, text
        pool_replicas = [replica for replica in fleet.replicas if replica["model"] == pool["model"]]

        def all_changed():
            return all(
                json.loads(call(replica["address"], "GET", "/report?after=0")[2] or "{}").get("weights") == name
                for replica in pool_replicas
            )

        try:
            wait_until(all_changed, 25, "weights")
            facts.setdefault("weights", []).append((name, time.monotonic() - began))
        except TimeoutError:
            facts.setdefault("weights", []).append((name, 99.0))
    fleet.wait_caller("load", options.seconds + 60)


def patch_both(fleet, chance, facts, last):
    """Two patches at once at different branches: both hold, whatever their order."""
    rank, length = chance.randrange(10), chance.randrange(100, 300)
    wanted = {"/root/rank": rank, "/limits/buffer_length": length}
    told = []

    def one(path, name):
        told.append(patch_configuration(fleet, name, [{"op": "replace", "path": path, "value": wanted[path]}])[0])

    threads = [threading.Thread(target=one, args=(path, chance.choice(fleet.names))) for path in wanted]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    if told != [200, 200]:
        facts.setdefault("wrong_reads", []).append(("two patches at once", told))
    tree = json.loads(json.dumps(last))
    tree["root"]["rank"], tree["limits"]["buffer_length"] = rank, length
    return tree


def races(fleet, options, facts):
    """Operators racing with the same condition, bad and large configurations, read back at the end."""
    chance = random.Random(options.seed)
    fleet.start_caller("load", options.rate, options.seconds, options.seed)
    facts["planned"] = 1
    end = time.monotonic() + options.seconds - 2
    last = None
    facts["reads"] = 0
    while time.monotonic() < end:
        _, etag, _ = fleet.get_configuration(fleet.edges[0])
        results = []

        def one(rank, name):
            tree = change_tree(fleet, rank)
            results.append((fleet.put_configuration(name, tree, if_match=etag), tree))

        threads = [
            threading.Thread(target=one, args=(rank, chance.choice(fleet.names)))
            for rank in chance.sample(range(10), 4)
        ]
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
        status, _, _ = fleet.put_configuration(
            chance.choice(fleet.names), json.dumps(change_tree(fleet, 1)) + " " * (1 << 20)
        )
        if status != 413:
            facts.setdefault("wrong_reads", []).append(("large configuration", status))
        last = patch_both(fleet, chance, facts, last)
        for name in chance.sample(fleet.names, 3):
            status, _, got = fleet.get_configuration(name)
            facts["reads"] += 1
            if status != 200 or got != last:
                facts.setdefault("wrong_reads", []).append((name, status))
    fleet.wait_caller("load", options.seconds + 40)
