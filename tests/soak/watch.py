"""What is looked at while a soak runs: nodes that end by themselves, their metrics, and this machine's own stalls."""

import threading
import time

from touch import clock

LOOK_EVERY, STALL_EVERY, STALL = 1.0, 0.02, 0.25


class Watch:
    def __init__(self, fleet):
        self.fleet, self.ended = fleet, threading.Event()
        self.stalls, self.failures = [], []
        self.threads = [threading.Thread(target=work, daemon=True) for work in (self.look, self.measure)]

    def start(self):
        for thread in self.threads:
            thread.start()

    def stop(self):
        self.ended.set()
        for thread in self.threads:
            thread.join(20)

    def look(self):
        while not self.ended.wait(LOOK_EVERY):
            self.fleet.restart_ended()
            self.fleet.metrics.look()

    def measure(self):
        """A thread that wakes often: how late it wakes tells whether the machine itself stood still."""
        before = time.monotonic()
        while not self.ended.wait(STALL_EVERY):
            now = time.monotonic()
            if now - before - STALL_EVERY > STALL:
                self.stalls.append({"at": clock(), "seconds": round(now - before, 2)})
            before = now
