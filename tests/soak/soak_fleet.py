"""A fleet under soak: a day of the platform's stand-ins whose nodes bear the shims for links and disks."""

import json
import shutil
import sys
import threading
import time
import tomllib

from links import Links
from paths import ROOT, call
from day import CONTROL, Day
from day_requests import KEYS, kinds
from touch import Ledger, clock

HTTP_PORT = 7375
OWN_END_PAUSE = 0.3


def metrics_place():
    """PORT/PATH as the deploy file tells it; the node's own port otherwise."""
    roles = tomllib.loads((ROOT / "deploy" / "system.toml").read_text()).get("roles", {})
    told = [role["metrics"] for role in roles.values() if "metrics" in role]
    port, _, path = (told[0] if told else "%d/metrics" % HTTP_PORT).partition("/")
    return int(port), "/" + path


class Fleet(Day):
    def __init__(self, folder, options, node=None):
        super().__init__(folder, options.build, options.net, options.edges, options.cores, replicas=6, node=node)
        self.folder = self.folder.resolve()
        self.links = Links(self.folder, self.ips)
        self.ledger, self.busy, self.busy_lock = Ledger(), set(), threading.Lock()
        self.moved_seeds, self.own_ends, self.lives = {}, [], {name: 0 for name in self.ips}
        self.knows_patches = node is None  # the careless node takes whole documents only
        self.violations, self.starting, self.closed, self.began = {}, threading.Lock(), False, clock()

    def replica_options(self, place, **more):
        slow = {"slots": 4, "queue": 8, "stepMs": 40, "loadMs": 500} if more.get("model") != "" else {}
        return super().replica_options(place, **{**slow, **more})

    def environment(self, name, path):
        shims = [self.build / "libdockrock-fault-shim.so", self.build / "libdockrock-links-shim.so"]
        return {
            **super().environment(name, path), "LD_PRELOAD": ":".join(str(shim) for shim in shims),
            "DOCKROCK_SHIM_FILE": str(self.disk_file(name)), "DOCKROCK_LINKS_FILE": str(self.links.path(name)),
            "DOCKROCK_LINKS_IP": self.ips[name],
        }  # fmt: skip

    def start_stand_in(self):
        super().start_stand_in()
        if not self.processes["platform"].running():
            raise RuntimeError("the addresses of net %d are taken by another run" % self.net)

    def disk_file(self, name):
        return self.folder / (name + ".faults")

    def settings(self, name):
        table = super().settings(name)
        if name in self.moved_seeds:
            table["seeds"] = [self.address(seed, CONTROL) for seed in self.moved_seeds[name]]
        return table

    def start_node(self, name):
        with self.starting:
            if self.closed:
                return
            self.lives[name] += 1
            super().start_node(name)

    def stop(self):
        with self.starting:
            self.closed = True
        super().stop()

    def traffic(self, rate, seconds=600):
        self.do("traffic", kinds=kinds(), keys=KEYS, rate=rate, forMs=int(1000 * seconds))

    def claim(self, names, count=1):
        """Takes nodes for a trouble, so that no other trouble ends or starts them meanwhile."""
        with self.busy_lock:
            free = [name for name in names if name not in self.busy][:count]
            self.busy |= set(free)
        return free

    def release(self, names):
        with self.busy_lock:
            self.busy -= set(names)

    def kill_all(self, names):
        for name in names:
            self.processes[name].told = True
            self.processes[name].send(9)
        for name in names:
            self.kill(name)

    def wipe(self, name):
        shutil.rmtree(self.folder / (name + "-data"), ignore_errors=True)

    def status(self, name):
        told, _, text = call("%s:%d" % (self.ips[name], HTTP_PORT), "GET", "/control/status", timeout=0.5)
        return json.loads(text) if told == 200 else {}

    def leader(self, partition="configuration"):
        """Who leads a partition now, by the nodes' own word; nothing where none says so."""
        for name in self.cores:
            for found in self.status(name).get("partitions", []):
                if found["name"] == partition and found["leads_here"]:
                    return name
        return None

    def holder(self):
        """Who leads the partitions of services, and so orders replicas; any of them."""
        for name in self.cores:
            for found in self.status(name).get("partitions", []):
                if found["name"].startswith("service") and found["leads_here"]:
                    return name
        return None

    def restart_ended(self):
        """Nodes that ended by themselves are noted, and started again as the platform does."""
        for name in self.cores + self.edges:
            process = self.processes.get(name)
            if process is None or process.handle is None or process.running() or process.told:
                continue
            self.own_ends.append({"node": name, "at": clock(), "code": process.handle.returncode})
            process.told = True
            time.sleep(OWN_END_PAUSE)
            self.start_node(name)

    def look_at_metrics(self):
        """Invariants that nodes found broken, the most of each life."""
        port, path = metrics_place()
        for name in self.cores + self.edges:
            status, _, text = call("%s:%d" % (self.ips[name], port), "GET", path, timeout=0.5)
            for line in text.splitlines() if status == 200 else []:
                if not line.startswith("dockrock_invariant_violations_total"):
                    continue
                key, value = (name, self.lives[name], line.rpartition(" ")[0]), float(line.rpartition(" ")[2])
                self.violations[key] = max(value, self.violations.get(key, 0.0))
