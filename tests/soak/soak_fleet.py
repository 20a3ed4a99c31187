"""A fleet under soak: a day of the platform's stand-ins whose nodes bear the shims for links and disks."""

import json
import pathlib
import resource
import shutil
import signal
import tempfile
import threading
import time

from links import Links
from node_metrics import HTTP_PORT, NodeMetrics
from paths import call
from day import BOUNDS, CONTROL, NOFILE, RAM_MB, Day
from day_requests import KEYS, kinds
from power import lose_unsynced
from touch import Ledger, clock

OWN_END_PAUSE = 0.3
MEMORY = pathlib.Path("/dev/shm")
USUAL = {"replicas": 6, "out": 60, "rate": 40, "overload": 150}
# Long streams at many replicas, so that a roll-out takes most of its bound.
SHAPED = {"weights": {"replicas": 18, "out": 400, "rate": 20, "overload": 60}}
FIRST_SUCCESSOR = 60  # its place among the addresses
MEMORY_LIMIT = RAM_MB * 1_000_000  # bytes
SETTLED_START = 1.5  # seconds of life before a node is sent new settings


class Fleet(Day):
    def __init__(self, folder, options, node=None):
        self.load = {**USUAL, **SHAPED.get(options.shape, {})}
        replicas = self.load["replicas"]
        # In memory where there is such a folder, logs too: a busy disk of this machine is no part of the course.
        self.kept = pathlib.Path(folder).resolve()
        folder = tempfile.mkdtemp(prefix="dockrock-soak-", dir=MEMORY) if MEMORY.is_dir() else folder
        super().__init__(folder, options.build, options.net, options.edges, options.cores, replicas=replicas, node=node)
        self.places, self.next_place = list(range(replicas)), FIRST_SUCCESSOR
        self.folder = self.folder.resolve()
        self.links = Links(self.folder, self.ips)
        self.ledger, self.busy, self.busy_lock = Ledger(), set(), threading.Lock()
        self.moved_seeds, self.own_ends, self.lives = {}, [], {name: 0 for name in self.ips}
        self.knows_patches = node is None  # the careless node takes whole documents only
        self.changed = {"acknowledged": threading.Event(), "sent": threading.Event()}
        self.stops, self.started_at, self.later_writes = [], {}, []
        self.unsynced = getattr(options, "planted", None) == "unsynced"  # disks that say "synced" and do nothing
        self.metrics, self.hasty = NodeMetrics(self), getattr(options, "hasty", False)
        self.starting, self.closed, self.began = threading.Lock(), False, clock()

    def replica_options(self, place, **more):
        slow = {"slots": 4, "queue": 8, "stepMs": 40, "loadMs": 500} if more.get("model") != "" else {}
        return super().replica_options(place, **{**slow, **more})

    def environment(self, name, path):
        shims = [self.build / "libdockrock-fault-shim.so", self.build / "libdockrock-links-shim.so"]
        return {
            **super().environment(name, path), "LD_PRELOAD": ":".join(str(shim) for shim in shims),
            "DOCKROCK_SHIM_FILE": str(self.disk_file(name)), "DOCKROCK_LINKS_FILE": str(self.links.path(name)),
            "DOCKROCK_LINKS_IP": self.ips[name], "DOCKROCK_SHIM_SYNCED": str(self.synced_folder(name)),
            **({"DOCKROCK_SHIM_UNSYNCED": "1"} if self.unsynced else {}),
        }  # fmt: skip

    def limits(self, name):
        """What the settings tell a node is what the kernel lets it have."""
        if not self.knows_patches:
            return ()  # the careless node is another program
        memory = [(which, MEMORY_LIMIT) for which in (resource.RLIMIT_AS, resource.RLIMIT_DATA)]
        return [*memory, (resource.RLIMIT_NOFILE, NOFILE)]

    def start_stand_in(self):
        super().start_stand_in()
        if not self.processes["platform"].running():
            raise RuntimeError("the addresses of net %d are taken by another run" % self.net)

    def data_folder(self, name):
        return self.folder / (name + "-data")

    def synced_folder(self, name):
        """Copies of the data files as they were at their last sync."""
        folder = self.folder / (name + "-synced")
        folder.mkdir(exist_ok=True)
        return folder

    def disk_file(self, name):
        return self.folder / (name + ".faults")

    def settings(self, name):
        table = super().settings(name)
        if name in self.moved_seeds:
            table["seeds"] = [self.address(seed, CONTROL) for seed in self.moved_seeds[name]]
        return table

    def start_node(self, name):
        with self.starting:
            process = self.processes.get(name)
            if self.closed or (process is not None and process.running()):
                return  # started by another hand meanwhile: the end of a trouble, or after an end of its own
            self.lives[name] += 1
            self.started_at[name] = time.monotonic()
            self.launch(name)

    def launch(self, name):
        super().start_node(name)

    def stop(self):
        with self.starting:
            self.closed = True
        super().stop()
        if self.kept != self.folder and self.folder.exists():
            shutil.rmtree(self.kept, ignore_errors=True)
            shutil.move(self.folder, self.kept)

    def traffic(self, above=False, seconds=600):
        rate = self.load["overload" if above else "rate"]
        asked = [{**kind, "out": self.load["out"]} if kind["type"] == "stream" else kind for kind in kinds()]
        self.do("traffic", kinds=asked, keys=KEYS, rate=rate, forMs=int(1000 * seconds))

    def replace_replicas(self, count, chance):
        """Shown as leaving, gone after a while; as many others come at new addresses."""
        leaving = chance.sample(self.places, min(count, len(self.places) // 2))
        for place in leaving:
            self.do("drain", addr=self.replica_options(place)["addr"])
        fresh = [self.next_place + number for number in range(len(leaving))]
        self.next_place += len(leaving)
        self.places = [place for place in self.places if place not in leaving] + fresh
        return leaving, fresh

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

    def stop_all(self, names, signals=()):
        """SIGTERM, further `signals` at their seconds after it, and SIGKILL `graceS` later, as the platform does.

        A hasty one starts the successors at once: they have to wait for the addresses."""
        began = time.monotonic()
        former = [self.processes[name] for name in names]
        for moment, sent in [(0.0, signal.SIGTERM), *signals]:
            time.sleep(max(0.0, began + moment - time.monotonic()))
            for process in former:
                process.told = True
                process.send(sent)
            if self.hasty and moment == 0.0:
                for name in names:
                    self.succeed(name)
        for process in former:
            code = process.end(0, max(0.1, BOUNDS["graceS"] + began - time.monotonic()))
            took = round(time.monotonic() - began, 2)
            self.stops.append({"node": process.name, "at": clock(), "code": code, "seconds": took})

    def succeed(self, name):
        """Starts a node whose former process has not ended yet."""
        with self.starting:
            if not self.closed:
                self.lives[name] += 1
                self.started_at[name] = time.monotonic()
                self.launch(name)

    def tell_new_settings(self, names, seeds):
        for name in names:
            self.moved_seeds[name] = seeds
            self.write_settings(name)
            self.processes[name].send(signal.SIGHUP)

    def settled_nodes(self):
        return [name for name, at in self.started_at.items() if time.monotonic() - at > SETTLED_START]

    def await_change(self, moment, limit):
        """The next change of the configuration, until it is sent or acknowledged."""
        self.changed[moment].clear()
        return self.changed[moment].wait(limit)

    def lose_power(self, names, chance):
        """Of killed nodes: what was not synced is gone, torn or kept, file by file."""
        for name in names:
            if name in self.cores:
                fates = lose_unsynced(self.data_folder(name), self.synced_folder(name), chance)
                self.later_writes += fates.values()

    def wipe(self, name):
        for folder in (self.data_folder(name), self.synced_folder(name)):
            shutil.rmtree(folder, ignore_errors=True)

    def unplanned_stalls(self):
        """Times at which a node found its disk stalled with nobody having made it so: this machine's own doing."""
        made = [harm for harm in self.ledger.harms if harm["kind"] in ("slow_disk", "stall_disk")]
        found = []
        for name in self.cores:
            for line in (self.folder / (name + ".out")).read_text(errors="replace").splitlines():
                if '"event":"disk-stalled"' in line and not any(name in harm["nodes"] for harm in made):
                    found.append(name)
        return found

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
