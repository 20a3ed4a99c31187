"""Operators under soak: changes of the configuration, races, revoked keys, names of weights, reads, probes."""

import copy
import random
import threading
from concurrent.futures import ThreadPoolExecutor

from day import BOUNDS, CONTROL, FRONT
from day_requests import HOST, route

APPLY = BOUNDS["applyMs"] / 1000
ADDED_AT_MOST = 8
CHANGES_HELD = {"change_routes": 6, "race": 2, "revoke": 2, "again": 1.5, "invalid": 0.5}
PATCHED = 0.4  # share of the changes of routes
CHANGE_EVERY = (0.5, 1.4)
READ_EVERY = 0.12
NAMES = {"weights": (4, (0.8, 2.5), (9, 14)), "mixed": (2, (0.5, 2.0), (6, 12)), "core": (2, (0.5, 2.0), (5, 9)),
         "configuration": (1, (1.0, 1.0), (12, 18)), "answers": (2, (0.5, 2.0), (6, 12)),
         "losses": (1, (1.0, 1.0), (8, 14))}  # names in a row, seconds between them, seconds of rest
REVOKED_PROBES, REVOKED_EVERY = 12, 0.7
PROBE_DEADLINE = 2500


class Operators:
    def __init__(self, fleet, seed, shape):
        self.fleet, self.seed, self.shape = fleet, seed, shape
        self.ended, self.threads, self.counts = threading.Event(), [], {}
        self.pool = ThreadPoolExecutor(24)
        self.added, self.spare_keys, self.number, self.weights = [], [], 0, 1
        self.failures, self.known = [], True
        self.patches = fleet.knows_patches

    def count(self, what):
        self.counts[what] = self.counts.get(what, 0) + 1

    def start(self):
        for work in (self.change_on, self.name_on, self.read_on, self.read_on):
            self.threads.append(threading.Thread(target=self.guarded, args=(work, len(self.threads)), daemon=True))
            self.threads[-1].start()

    def guarded(self, work, place):
        try:
            work(random.Random("%s %d %d" % (self.shape, self.seed, place)))
        except Exception as failure:  # told in the report: a run whose operators ended early judges less
            self.failures.append("%s: %r" % (work.__name__, failure))

    def stop(self):
        self.ended.set()
        for thread in self.threads:
            thread.join(60)
        self.pool.shutdown(wait=True, cancel_futures=True)

    def wait(self, seconds):
        return self.ended.wait(seconds)

    # Changes of the configuration.
    def change_on(self, chance):
        while not self.wait(chance.uniform(*CHANGE_EVERY)):
            kind = chance.choices(list(CHANGES_HELD), list(CHANGES_HELD.values()))[0]
            self.count(kind)
            getattr(self, kind)(chance)

    def fresh(self, chance):
        document = copy.deepcopy(self.fleet.configuration)
        document["ver"] = self.fleet.version + chance.randint(1, 4)
        return document

    def add_route(self, document):
        self.number += 1
        name = "added-%d" % self.number
        document["routes"].append(route(name, "/%s/" % name, "idem", "plain"))
        return name

    def put(self, document, valid=True, base=None, patch=None):
        base = self.fleet.version if base is None else base
        asked = {"patch": patch} if patch else {"document": document}
        self.fleet.changed["sent"].set()
        _, result = self.fleet.do("change", base=base, valid=valid, timeout=60, **asked)
        if result["status"] == 200:
            self.fleet.changed["acknowledged"].set()
        return result["status"]

    def patch_of(self, document, name, removed):
        if removed:
            return {"ver": document["ver"], "remove": {"routes": [removed]}}
        return {"ver": document["ver"], "upsert": {"routes": [document["routes"][-1]]}}

    def taken(self, document):
        self.fleet.version, self.fleet.configuration, self.known = document["ver"], document, True
        self.added = [item["name"] for item in document["routes"] if item["name"].startswith("added-")]

    def learn(self):
        """After an answer that tells too little: what is in force."""
        while not self.ended.is_set():
            status, document = self.fleet.do("read", limitMs=BOUNDS["contactMs"], midway=True)
            if status == 200 and "ver" in document:
                self.taken(document)
                self.known = False  # by its acknowledgement: what a patch builds on has to be
                return

    def change_routes(self, chance):
        document = self.fresh(chance)
        removed = None
        if self.added and (len(self.added) >= ADDED_AT_MOST or chance.random() < 0.45):
            removed = chance.choice(self.added)
            document["routes"] = [item for item in document["routes"] if item["name"] != removed]
        name = removed or self.add_route(document)
        in_part = chance.random() < PATCHED and self.patches and self.known
        patch = self.patch_of(document, name, removed) if in_part else None
        if self.put(document, patch=patch) != 200:
            return self.learn()
        self.taken(document)
        self.pool.submit(self.probe_all, "/%s/p" % name, "key-ann-1")

    def race(self, chance):
        documents = [self.fresh(chance) for _ in range(chance.choice((2, 2, 3)))]
        names = [self.add_route(document) for document in documents]
        base = self.fleet.version
        results = list(self.pool.map(lambda document: self.put(document, base=base), documents))
        for document, status in zip(documents, results, strict=True):
            if status == 200:
                self.taken(document)
        if 200 not in results:
            self.learn()
        for name in names:  # of those that lost as well: none of them may be served
            self.pool.submit(self.probe_all, "/%s/p" % name, "key-ann-1")

    def revoke(self, chance):
        document = self.fresh(chance)
        keys = next(tenant for tenant in document["orgs"] if tenant["name"] == "dan")["apiKeys"]
        gone = self.spare_keys.pop(0) if self.spare_keys else None
        self.number += 1
        fresh = "key-dan-spare-%d" % self.number
        if gone in keys:
            keys.remove(gone)
        keys.append(fresh)
        if self.put(document) != 200:
            self.learn()
            keys = next(item for item in self.fleet.configuration["orgs"] if item["name"] == "dan")["apiKeys"]
            self.spare_keys = [key for key in keys if "spare" in key]
            return
        self.taken(document)
        self.spare_keys.append(fresh)
        self.pool.submit(self.probe_all, "/read/p", fresh)
        if gone:
            self.pool.submit(self.probe_revoked, gone)

    def again(self, _):
        self.fleet.do("again", timeout=60)

    def invalid(self, chance):
        document = self.fresh(chance)
        self.add_route(document)
        document["routes"][-1]["svc"] = "nobody"
        if self.put(document, valid=False) // 100 == 2:
            self.learn()

    # Probes: one request at each ready edge, when the change has to be in force and some time later.
    def ready_edges(self):
        ready = self.fleet.do("nodes")[1]["ready"]
        return [name for name, is_ready in zip(self.fleet.edges, ready, strict=True) if is_ready]

    def probe_each(self, path, key):
        kind = {"type": "idem", "method": "GET", "host": HOST, "path": path, "deadlineMs": PROBE_DEADLINE}
        for name in self.ready_edges():
            self.pool.submit(self.fleet.do, "probe", node=self.fleet.address(name, FRONT), kind=kind, key=key)
            self.count("probes")

    def probe_all(self, path, key):
        for pause in (0.3, APPLY - 0.25, 1.0, 2.0):
            if self.wait(pause):
                return
            self.probe_each(path, key)

    def probe_revoked(self, key):
        for _ in range(REVOKED_PROBES):
            if self.wait(REVOKED_EVERY):
                return
            self.probe_each("/read/p", key)

    # Weights, and reads of the configuration at any node.
    def name_on(self, chance):
        row, between, rest = NAMES[self.shape]
        self.wait(chance.uniform(1.0, 3.0))
        while not self.ended.is_set():
            for _ in range(chance.randint(1, row) if row > 1 else 1):
                self.weights += 1
                _, result = self.fleet.do("version", model="m0", ver=self.weights, timeout=60)
                self.count("weights named" if result["status"] == 200 else "weights named without an answer")
                self.wait(chance.uniform(*between))
            self.wait(chance.uniform(*rest))

    def read_on(self, chance):
        while not self.wait(READ_EVERY):
            name = chance.choice(self.fleet.cores)
            self.fleet.do("glance", node=self.fleet.address(name, CONTROL))
            self.count("reads")
