"""Scenarios of what operators change: keys, weights, configurations in races."""

import http.client
import json
import random
import threading
import time

from fleet import call, wait_until
from observe import change_tree, clock, in_force_everywhere


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
    held_open = KeptOpen(fleet, fleet.deployment["tenants"][-1])
    if held_open.ticket() != 200:
        facts.setdefault("stuck", []).append("no answer on the connection kept open")
    status, headers, text = fleet.put_somewhere(tree)
    assert status == 200, text
    facts["revoked"] = [(tenant, clock())]
    in_force_everywhere(fleet, headers["ETag"], facts)
    time.sleep(max(0.0, facts["revoked"][0][1] / 1e6 + 5 - clock() / 1e6))
    if held_open.ticket() != 401:
        facts["revoked_alive"] = ["on a connection kept open"]
    fleet.wait_caller("load", options.seconds + 40)


class KeptOpen:
    """One connection kept open, as a caller's pool keeps it."""

    def __init__(self, fleet, tenant):
        host, port = fleet.http[fleet.edges[1]].split(":")
        self.connection = http.client.HTTPConnection(host, int(port), timeout=10)
        self.tenant, self.kind = tenant, fleet.deployment["kinds"][-1]

    def ticket(self):
        body = {
            "model": self.kind["model"],
            "kind": self.kind["name"],
            "max_tokens": 16,
            "tenant": self.tenant["name"],
            "run_once": False,
        }
        self.connection.request(
            "POST", "/v1/generate", json.dumps(body), {"Authorization": "Bearer " + self.tenant["key"]}
        )
        answer = self.connection.getresponse()
        answer.read()
        return answer.status


def weights(fleet, options, facts):
    facts["planned_only"] = True
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
        for name in chance.sample(fleet.names, 3):
            status, _, got = fleet.get_configuration(name)
            facts["reads"] += 1
            if status != 200 or got != last:
                facts.setdefault("wrong_reads", []).append((name, status))
    fleet.wait_caller("load", options.seconds + 40)
