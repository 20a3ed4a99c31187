"""The troubles of a course, done to a fleet and undone. Each notes in the ledger whom it harms, and when."""

import random
import signal
import time

from course import LOSES_DISK, LOSSES, STOPS
from links import both_ways, one_way

BACK_FAULTS = {
    "lost_orders": {"lostOrders": 0.6}, "late_orders": {"lateOrders": 0.6}, "slow_replicas": {"slow": 2.5},
    "late_answers": {"late": 0.15, "extra": 0.1},
    "broken_answers": {"cut": 0.1, "reset": 0.06, "garble": 0.04, "spoiled": 0.08},
}  # fmt: skip
LOST_ACKNOWLEDGEMENTS = 0.5
LOSSY = 0.15
SICK_DISK = {"slow_disk": "slow 250\n", "stall_disk": "stall\n", "full_disk": "full\n"}  # milliseconds of a sync
CLOCK_JUMPS = (-20, -3, 3, 20)  # seconds
LOST_AFTER = {"acknowledged": 0.5, "sent": 0.3, "nothing": 0.2}  # what a loss of all follows upon, by shares
SLOW_BEFORE_LOSS = "slow 60\n"  # milliseconds of a sync
AWAITED, AT_ONCE_AFTER = 3.0, (0.0, 0.04)  # seconds to wait for it, and after it
TOLD_TWICE = 0.5
MOST_TOLD_AGAIN, TOLD_AGAIN_S = 3, (0.1, 3.0)  # signals to a node that is stopping, seconds after the first one


class Troubles:
    def __init__(self, fleet):
        self.fleet = fleet
        self.steps = {
            "kill_leader": self.kill, "kill_follower": self.kill, "kill_edge": self.kill, "kill_core": self.kill_core,
            "kill_herd": self.kill_herd, "pause_leader": self.pause, "pause_follower": self.pause,
            "pause_holder": self.pause, "pause_edge": self.pause, "halves": self.halves,
            "one_way_core": self.one_way_core, "lone_core": self.lone_core, "lossy_core": self.lossy,
            "lossy_edge": self.lossy, "cut_edges": self.cut_edges, "one_way_to_edge": self.cut_edges,
            "one_way_from_edge": self.cut_edges, **dict.fromkeys(SICK_DISK, self.sick_disk),
            "wipe_disk": self.wipe_disk, "moved_seeds": self.restart_with_moved_seeds,
            "crash_replica": self.crash_replica, "leaving_replicas": self.leaving_replicas,
            "overload": self.overload, "lost_acknowledgements": self.lose_answers,
            **dict.fromkeys(BACK_FAULTS, self.back_fault), **dict.fromkeys(LOSSES, self.lose_all),
            **dict.fromkeys(STOPS, self.stop), "new_settings": self.new_settings,
            "clock_core": self.jump_clock, "clock_edge": self.jump_clock,
        }  # fmt: skip

    def play(self, trouble, wait):
        """Whom it hit, for the timeline; nothing where nobody was free. `wait` ends early when the run does."""
        chance = random.Random(trouble["choice"])
        return self.steps[trouble["kind"]](trouble["kind"], chance, lambda: wait(trouble["lasts"]))

    def target(self, kind, chance, among=None):
        fleet, part = self.fleet, kind.rpartition("_")[2]
        if part == "edge":
            names = chance.sample(fleet.edges, len(fleet.edges))
        else:
            leader = fleet.holder() if part == "holder" else fleet.leader()
            others = [name for name in chance.sample(fleet.cores, len(fleet.cores)) if name != leader]
            names = others if part == "follower" else [leader or others[0]] + others
        return fleet.claim([name for name in names if among is None or name in among])

    def held(self, kind, names, wait, begin, end, **harm):
        """Between `begin` and `end` the nodes are in trouble."""
        if not names:
            return None
        noted = self.fleet.ledger.begin(kind, nodes=names, **harm)
        try:
            begin()
            wait()
        finally:
            end()
            self.fleet.ledger.end(noted)
            self.fleet.release(names)
        return names

    def start_all(self, names):
        for name in names:
            self.fleet.start_node(name)

    def kill(self, kind, chance, wait):
        names = self.target(kind, chance)
        return self.held(kind, names, wait, lambda: self.fleet.kill_all(names), lambda: self.start_all(names))

    def kill_core(self, kind, chance, wait):
        names = self.fleet.claim(self.fleet.cores, len(self.fleet.cores))
        return self.held(kind, names, wait, lambda: self.fleet.kill_all(names), lambda: self.start_all(names))

    def lose_all(self, kind, chance, wait):
        """All processes at one moment, mostly right after a change was acknowledged or sent; power and disk, or not."""
        fleet, everyone = self.fleet, self.fleet.cores + self.fleet.edges
        names = fleet.claim(everyone, len(everyone))
        wiped = [name for name in chance.sample(fleet.cores, len(fleet.cores)) if name in names][:1]
        moment = chance.choices(list(LOST_AFTER), list(LOST_AFTER.values()))[0]
        pause = chance.uniform(*AT_ONCE_AFTER)
        power = kind.startswith("power")
        disks = [fleet.disk_file(name) for name in names if name in fleet.cores] if power else []

        def lose():
            for disk in disks:  # so that power goes while writes wait for their sync
                disk.write_text(SLOW_BEFORE_LOSS)
            if moment in fleet.changed and fleet.await_change(moment, AWAITED):
                time.sleep(pause)
            fleet.kill_all(names)
            for disk in disks:
                disk.write_text("")
            if power:
                fleet.lose_power(names, chance)
            for name in wiped if kind in LOSES_DISK else []:
                fleet.wipe(name)

        return self.held(kind, names, wait, lose, lambda: self.start_all(names))

    def stop(self, kind, chance, wait):
        names = self.target(kind, chance, self.fleet.settled_nodes())
        again = sorted(chance.uniform(*TOLD_AGAIN_S) for _ in range(chance.randint(0, MOST_TOLD_AGAIN)))
        signals = [(moment, chance.choice([signal.SIGTERM, signal.SIGHUP])) for moment in again]
        return self.held(kind, names, wait, lambda: self.fleet.stop_all(names, signals), lambda: self.start_all(names))

    def new_settings(self, kind, chance, wait):
        """Other seeds in the settings files of nodes, and SIGHUP; no trouble at all, by the users' words."""
        fleet = self.fleet
        seeds, nodes = chance.sample(fleet.cores, min(3, len(fleet.cores))), fleet.settled_nodes()
        told, count = chance.sample(nodes, len(nodes)), chance.randint(1, len(nodes) or 1)
        for _ in range(2 if chance.random() < TOLD_TWICE else 1):
            names = fleet.claim(told, count)  # only while they are told: it is no trouble
            fleet.tell_new_settings(names, seeds)
            fleet.release(names)
            wait()
        return names

    def kill_herd(self, kind, chance, wait):
        edges = self.fleet.edges
        names = self.fleet.claim(chance.sample(edges, len(edges)), chance.randint(len(edges) // 2, len(edges)))
        return self.held(kind, names, wait, lambda: self.fleet.kill_all(names), lambda: self.start_all(names))

    def pause(self, kind, chance, wait):
        names = self.target(kind, chance)
        send = lambda number: [self.fleet.processes[name].send(number) for name in names]
        return self.held(kind, names, wait, lambda: send(signal.SIGSTOP), lambda: send(signal.SIGCONT))

    def cut(self, kind, chance, wait, rules, lossy=False):
        key = (kind, chance.random())
        noted = self.fleet.ledger.begin(kind, pairs=[tuple(sorted(rule[:2])) for rule in rules], lossy=lossy)
        try:
            self.fleet.links.put(key, rules)
            wait()
        finally:
            self.fleet.links.heal(key)
            self.fleet.ledger.end(noted)
        return sorted({"%s>%s" % rule[:2] for rule in rules})

    def halves(self, kind, chance, wait):
        cores = chance.sample(self.fleet.cores, len(self.fleet.cores))
        half = len(cores) // 2
        return self.cut(kind, chance, wait, both_ways(cores[:half], cores[half:]))

    def one_way_core(self, kind, chance, wait):
        leader = self.fleet.leader() or self.fleet.cores[0]
        others = [name for name in self.fleet.cores if name != leader]
        pair = (([leader], others), (others, [leader]))[chance.randrange(2)]
        return self.cut(kind, chance, wait, one_way(*pair))

    def lone_core(self, kind, chance, wait):
        name = chance.choice(self.fleet.cores)
        return self.cut(kind, chance, wait, both_ways([name], self.fleet.cores + self.fleet.edges))

    def lossy(self, kind, chance, wait):
        name = chance.choice(self.fleet.cores if kind == "lossy_core" else self.fleet.edges)
        rules = both_ways([name], self.fleet.cores + self.fleet.edges, LOSSY)
        return self.cut(kind, chance, wait, rules, lossy=True)

    def cut_edges(self, kind, chance, wait):
        edges = chance.sample(self.fleet.edges, chance.randint(1, len(self.fleet.edges) // 2))
        cores = chance.sample(self.fleet.cores, chance.randint(1, len(self.fleet.cores)))
        others = cores + [name for name in self.fleet.edges if name not in edges and chance.random() < 0.5]
        if kind == "cut_edges":
            return self.cut(kind, chance, wait, both_ways(edges, others))
        pair = (others, edges) if kind == "one_way_to_edge" else (edges, others)
        return self.cut(kind, chance, wait, one_way(*pair))

    def sick_disk(self, kind, chance, wait):
        fleet = self.fleet
        name = (fleet.leader() or fleet.cores[0]) if chance.random() < 0.5 else chance.choice(fleet.cores)
        line = SICK_DISK[kind]
        names = fleet.claim([name])
        file = fleet.disk_file(name)
        return self.held(kind, names, wait, lambda: file.write_text(line), lambda: file.write_text(""))

    def jump_clock(self, kind, chance, wait):
        """The time of day at one node, there and back."""
        names = self.target(kind, chance)
        files, jump = [self.fleet.disk_file(name) for name in names], "clock %d\n" % chance.choice(CLOCK_JUMPS)
        write = lambda text: [file.write_text(text) for file in files]
        return self.held(kind, names, wait, lambda: write(jump), lambda: write(""))

    def wipe_disk(self, kind, chance, wait):
        names = self.fleet.claim(chance.sample(self.fleet.cores, len(self.fleet.cores)))

        def lose():
            self.fleet.kill_all(names)
            self.fleet.wipe(names[0])

        return self.held(kind, names, wait, lose, lambda: self.start_all(names))

    def restart_with_moved_seeds(self, kind, chance, wait):
        """Core nodes are cut off; an edge restarts with them as its seeds, and one of them is well."""
        fleet = self.fleet
        cores = chance.sample(fleet.cores, 2)
        names = fleet.claim(chance.sample(fleet.edges, len(fleet.edges)))
        if not names:
            return None
        fleet.moved_seeds[names[0]] = cores

        def lose():
            fleet.kill_all(names)
            self.start_all(names)

        rules = both_ways(cores[:1], fleet.cores + fleet.edges)
        return self.cut(kind, chance, lambda: self.held(kind, names, wait, lose, lambda: None), rules)

    def crash_replica(self, kind, chance, wait):
        fleet, place = self.fleet, chance.choice(self.fleet.places)
        fleet.do("crash", addr=fleet.replica_options(place)["addr"])
        wait()
        fleet.do("start", replicas=[fleet.replica_options(place)])
        return [fleet.replica_options(place)["addr"]]

    def leaving_replicas(self, kind, chance, wait):
        fleet = self.fleet
        leaving, fresh = fleet.replace_replicas(chance.randint(1, 3), chance)
        wait()
        fleet.do("start", replicas=[fleet.replica_options(place) for place in fresh])
        return [fleet.replica_options(place)["addr"] for place in leaving]

    def back_fault(self, kind, chance, wait):
        faults = BACK_FAULTS[kind]
        self.fleet.do("faults", **faults)
        wait()
        self.fleet.do("faults", **{name: 1.0 if name == "slow" else 0.0 for name in faults})
        return ["replicas"]

    def overload(self, kind, chance, wait):
        self.fleet.traffic(above=True)
        wait()
        self.fleet.traffic()
        return ["clients"]

    def lose_answers(self, kind, chance, wait):
        self.fleet.do("operator", lost=LOST_ACKNOWLEDGEMENTS)
        wait()
        self.fleet.do("operator", lost=0.0)
        return ["operators"]
