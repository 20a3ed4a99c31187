"""Reads every node's counts of violated invariants while a fleet runs, and once more at its end."""

import threading

from processes import call

METRIC = 'dockrock_invariant_violations_total{invariant="'
INTERVAL = 3.0  # seconds; a node that is killed between two looks takes what it counted since with it
PATIENCE = 0.7  # of one look; a frozen node answers nothing


def counted(text):
    """The counts in a node's metrics by invariant; nothing where it has none."""
    lines = [line for line in text.splitlines() if line.startswith(METRIC)]
    return {line[len(METRIC) :].split('"')[0]: float(line.rsplit(" ", 1)[1]) for line in lines}


class InvariantWatch:
    def __init__(self, addresses):
        """`addresses`: a function that gives the nodes that run now and where each tells its metrics."""
        self.addresses, self.found, self.looked = addresses, {}, set()
        self.over = threading.Event()
        self.thread = threading.Thread(target=self.watch, daemon=True)

    def start(self):
        self.thread.start()
        return self

    def watch(self):
        while not self.over.wait(INTERVAL):
            self.look()

    def look(self):
        for name, address in self.addresses().items():
            status, _, text = call(address, "GET", "/metrics", timeout=PATIENCE)
            counts = counted(text) if status == 200 else {}
            if counts:
                self.looked.add(name)
            for invariant, count in counts.items():
                if count > self.found.get((name, invariant), 0):
                    self.found[(name, invariant)] = count

    def stop(self):
        """The last look; what was found, as text."""
        self.over.set()
        self.thread.join()
        self.look()
        return ["%s: %s %d" % (name, invariant, count) for (name, invariant), count in sorted(self.found.items())]
