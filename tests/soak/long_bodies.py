"""Callers with bodies at the configured limit: more of them at once than an edge may hold."""

import random
import threading
from collections import Counter

from paths import call
from day import FRONT
from day_requests import HOST, KEYS

BODY, AT_ONCE, PAUSE_S = 4_194_304, 80, 2.0
ANSWER_LIMIT_S = 10


class LongBodies:
    """Every other second, many to one edge. They are none of the stand-in's callers: only their answers are counted."""

    def __init__(self, fleet, seed):
        self.fleet, self.chance, self.ended = fleet, random.Random("bodies %d" % seed), threading.Event()
        self.answers, self.unanswered, self.lock = Counter(), [], threading.Lock()
        self.thread = threading.Thread(target=self.work, daemon=True)

    def start(self):
        self.thread.start()

    def stop(self):
        self.ended.set()
        if self.thread.ident is not None:
            self.thread.join(3 * ANSWER_LIMIT_S)

    def work(self):
        while not self.ended.wait(PAUSE_S):
            edge, key = self.chance.choice(self.fleet.edges), self.chance.choice(KEYS)
            callers = [threading.Thread(target=self.ask, args=(edge, key), daemon=True) for _ in range(AT_ONCE)]
            for caller in callers:
                caller.start()
            for caller in callers:
                caller.join()

    def calm(self, edge):
        """The life of an edge that nobody has in trouble; nothing else."""
        process = self.fleet.processes[edge]
        free = edge not in self.fleet.busy and process.running() and not process.told
        return self.fleet.lives[edge] if free else None

    def ask(self, edge, key):
        before = self.calm(edge)
        seen = self.answer(self.fleet.ips[edge], key)
        with self.lock:
            self.answers[seen] += 1
            if before is not None and self.calm(edge) == before and seen == 0:
                self.unanswered.append("%s, life %d: no answer" % (edge, before))

    def answer(self, address, key):
        """The status; 0 where there was none."""
        headers = {"Host": HOST, "Request-Id": "body", "Deadline-Ms": "5000", "Key": key}
        return call("%s:%d" % (address, FRONT), "POST", "/none/x", b"b" * BODY, headers, ANSWER_LIMIT_S)[0]
