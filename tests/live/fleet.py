"""Starts and stops a whole fleet on loopback. Only scripts start processes."""

import json
import pathlib
import shutil
import signal
import time

from backs import start_backs
from faults import shim_environment, start_relay
from processes import Process, call, wait_until, with_key_hashes

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
AREAS = ["north", "east", "south", "west"]


class Fleet:
    def __init__(self, deployment, folder, build="build", base_port=21000, edges=9, cores=4, options=None):
        self.deployment = json.loads((ROOT / "deployments" / (deployment + ".json")).read_text())
        self.folder = pathlib.Path(folder)
        shutil.rmtree(self.folder, ignore_errors=True)
        self.folder.mkdir(parents=True)
        self.programs = ROOT / build
        self.base, self.options = base_port, options or {}
        self.names = ["core-%d" % n for n in range(1, cores + 1)] + ["edge-%d" % n for n in range(1, edges + 1)]
        self.cores, self.edges = self.names[:cores], self.names[cores:]
        self.processes = {}
        self.control = {name: "127.0.0.1:%d" % (base_port + 2 * n) for n, name in enumerate(self.names)}
        self.http = {name: "127.0.0.1:%d" % (base_port + 2 * n + 1) for n, name in enumerate(self.names)}
        self.platform = "127.0.0.1:%d" % (base_port + 100)
        self.store = "127.0.0.1:%d" % (base_port + 101)
        self.application = "127.0.0.1:%d" % (base_port + 102)
        self.replicas = []
        for pool in self.deployment["replicas"]:
            for number in range(pool["count"]):
                place = len(self.replicas)
                self.replicas.append(
                    {
                        "name": "%s-%d" % (pool["model"], number),
                        "address": "127.0.0.1:%d" % (base_port + 110 + place),
                        "model": pool["model"],
                        "area": AREAS[place % 4],
                        "capacity": pool["capacity"],
                        "memory": pool["memory"],
                        "drain": False,
                        "weights": pool["weights"],
                    }
                )

    def configuration(self):
        return with_key_hashes(self.deployment["configuration"])

    def program(self, name):
        return str(self.programs / name)

    def add(self, name, arguments, environment=None):
        self.processes[name] = Process(name, arguments, self.folder, environment)
        return self.processes[name].start()

    def start_replica(self, replica, weights=None):
        options = self.options.get("replica", [])
        return self.add(
            replica["name"],
            [
                self.program("stand-in-replica"),
                "--name",
                replica["name"],
                "--address",
                replica["address"],
                "--weights",
                weights or replica["weights"],
                "--capacity",
                str(replica["capacity"]),
                "--memory",
                str(replica["memory"]),
                "--store",
                self.store,
                "--record",
                str(self.folder / ("replica-" + replica["name"] + ".jsonl")),
            ]
            + options,
        )

    def node_settings(self, name):
        number = self.names.index(name)
        seeds = [self.control[seed] for seed in (self.cores + self.edges)[:3]]
        settings = {
            "fleet": self.deployment["name"],
            "control_address": self.control[name],
            "http_address": self.http[name],
            "area": AREAS[number % 4] if name in self.cores else AREAS[(number - len(self.cores)) % 4],
            "seeds": seeds,
            "platform_address": self.platform,
            "core_count": len(self.cores),
            "log_file": str(self.folder / (name + ".log")),
            "stop_limit_milliseconds": 20000,
        }
        if name in self.cores:
            settings["data_folder"] = str(self.folder / (name + "-data"))
        if self.options.get("relay"):
            settings["control_listen"] = self.listens(name)
        settings.update(self.options.get("settings", {}))
        settings.update(self.options.get("node_settings", {}).get(name, {}))
        return settings

    def start_node(self, name):
        (self.folder / (name + ".json")).write_text(json.dumps(self.node_settings(name)))
        arguments = [self.program("dockrock-node"), "--settings", str(self.folder / (name + ".json"))]
        return self.add(name, arguments, shim_environment(self, name) if self.options.get("shim") else None)

    def listens(self, name):
        """Where a node itself is, when a relay stands at its address."""
        return "127.0.0.1:%d" % (self.base + 2 * self.names.index(name) + 40)

    def start_nodes(self, names=None):
        for name in names or self.names:
            self.start_node(name)

    def status(self, name):
        text = call(self.http[name], "GET", "/control/status", timeout=3)
        return json.loads(text[2]) if text[0] == 200 else None

    def ready(self, name):
        return call(self.http[name], "GET", "/ready", timeout=3)[0] == 200

    def serves(self, name):
        """Ready, or resting and so ready to be woken."""
        status, _, text = call(self.http[name], "GET", "/ready", timeout=3)
        return status == 200 or '"resting":true' in text

    def get_configuration(self, name):
        status, headers, text = call(self.http[name], "GET", "/control/configuration")
        return (status, headers.get("ETag"), json.loads(text) if status == 200 else text)

    def put_configuration(self, name, configuration, identity=None, if_match=None, timeout=8):
        headers = {"Change-Identity": identity} if identity else {}
        headers.update({"If-Match": if_match} if if_match else {})
        return call(self.http[name], "PUT", "/control/configuration", configuration, headers, timeout)

    def put_somewhere(self, configuration, limit=20):
        """Puts as an operator would: the same change identity until it is settled."""
        identity = "put-%d" % time.monotonic_ns()
        names = [name for name in self.names if self.processes.get(name) and self.processes[name].running()]
        for attempt in range(200):
            status, headers, text = self.put_configuration(names[attempt % len(names)], configuration, identity)
            if status in (200, 400, 412, 413, 422):
                return status, headers, text
            time.sleep(0.1)
        raise TimeoutError("configuration not taken")

    def start(self, configure=True, limit=40):
        start_backs(self)
        if self.options.get("relay"):
            start_relay(self)
        self.start_nodes()
        wait_until(lambda: self.get_configuration(self.edges[0])[0] == 200, limit, "fleet formed")
        if configure:
            status, _, text = self.put_somewhere(self.configuration())
            assert status == 200, text
            self.wait_ready(limit=limit)

    def wait_ready(self, names=None, limit=30):
        for name in names or self.edges:
            wait_until(lambda name=name: self.serves(name), limit, name + " ready")

    def kill(self, name, number=signal.SIGKILL):
        self.processes[name].end(number)

    def freeze(self, name):
        self.processes[name].send(signal.SIGSTOP)

    def wake(self, name):
        self.processes[name].send(signal.SIGCONT)

    def wipe(self, name):
        shutil.rmtree(self.folder / (name + "-data"), ignore_errors=True)

    def leader(self, partition="configuration"):
        """Name of the node that leads a partition, as that node itself says."""
        for name in self.cores:
            if not self.processes[name].running():
                continue
            status = self.status(name)
            for entry in (status or {}).get("partitions", []):
                if entry["name"] == partition and entry["leads_here"]:
                    return name
        return None

    def metrics(self, name):
        _, _, text = call(self.http[name], "GET", "/metrics")
        return {
            line.rsplit(" ", 1)[0].removeprefix("dockrock_"): float(line.rsplit(" ", 1)[1])
            for line in text.splitlines()
            if line and line[0] != "#"
        }

    def running_nodes(self):
        """Where each node that runs now tells its metrics."""
        started = [name for name in self.names if name in self.processes]
        return {name: self.http[name] for name in started if self.processes[name].running()}

    def start_caller(self, label, rate, seconds, seed=1, targets=None, kinds=None, tenants=None, extra=None):
        plan = {
            "targets": targets or [self.http[name] for name in self.edges],
            "kinds": kinds or self.deployment["kinds"],
            "tenants": tenants or self.deployment["tenants"],
            "rate": rate,
            "seconds": seconds,
            "seed": seed,
            "label": label,
            "twice": 0.05,
        }
        plan.update(extra or {})
        path = self.folder / ("plan-%s.json" % label)
        path.write_text(json.dumps(plan))
        return self.add(
            "caller-" + label,
            [self.program("caller"), "--plan", str(path), "--record", str(self.folder / ("caller-%s.jsonl" % label))],
        )

    def wait_caller(self, label, limit=120):
        process = self.processes["caller-" + label]
        wait_until(lambda: not process.running(), limit, "caller " + label)

    def died(self):
        """Node processes that ended without being told to."""
        return [
            "%s ended with %s" % (name, self.processes[name].handle.returncode)
            for name in self.names
            if name in self.processes and not self.processes[name].running() and not self.processes[name].told
        ]

    def stop(self):
        for process in self.processes.values():
            process.send(signal.SIGCONT)
            process.end(signal.SIGKILL)
