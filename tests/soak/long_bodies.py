"""Callers who send more at once than an edge may hold: bodies at the limit, and requests that do not go on."""

import random
import threading
import time
from collections import Counter

from paths import call
from day import FRONT
from day_requests import HOST, KEYS
from unfinished import HALF_A_BODY, SMALL_FIELDS, begin, end_of

BODY, AT_ONCE, PAUSE_S = 4_194_304, 80, 2.0
ANSWER_LIMIT_S = 10
UNFINISHED, HELD_S, CONNECT_LIMIT_S = 1_500, 1.0, 0.5
RESET = "Connection reset by peer"


class LongBodies:
    """Every other second, many to one edge. They are none of the stand-in's callers: only their answers are counted."""

    def __init__(self, fleet, seed):
        self.fleet, self.chance, self.ended = fleet, random.Random("bodies %d" % seed), threading.Event()
        self.answers, self.unanswered, self.lock = Counter(), [], threading.Lock()
        self.unfinished = Counter()
        self.thread = threading.Thread(target=self.work, daemon=True)

    def start(self):
        self.thread.start()

    def stop(self):
        self.ended.set()
        if self.thread.ident is not None:
            self.thread.join(3 * ANSWER_LIMIT_S)

    def work(self):
        while not self.ended.wait(PAUSE_S):
            request = self.chance.choice([SMALL_FIELDS, HALF_A_BODY])
            self.hold_unfinished(self.chance.choice(self.fleet.edges), request)
            edge, key = self.chance.choice(self.fleet.edges), self.chance.choice(KEYS)
            callers = [threading.Thread(target=self.ask, args=(edge, key), daemon=True) for _ in range(AT_ONCE)]
            for caller in callers:
                caller.start()
            for caller in callers:
                caller.join()

    def hold_unfinished(self, edge, request):
        """As many as are let in; of an edge that nobody has in trouble, none is reset."""
        before, clients = self.calm(edge), []
        try:
            for _ in range(UNFINISHED):
                clients.append(begin(self.fleet.ips[edge], FRONT, request, CONNECT_LIMIT_S))
        except OSError:
            pass  # those that are there tell what became of it
        time.sleep(HELD_S)
        seen = Counter(end_of(client) for client in clients)
        for client in clients:
            client.close()
        with self.lock:
            self.unfinished += seen
            if before is not None and self.calm(edge) == before and seen[RESET] > 0:
                self.unanswered.append("%s, life %d: %d unfinished requests reset" % (edge, before, seen[RESET]))

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
