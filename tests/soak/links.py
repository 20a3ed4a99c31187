"""Cut and lossy links between nodes, by rules that the shim in each node follows (links_shim.cpp)."""

import os
import threading
import time

CUT = 1.0


class Links:
    def __init__(self, folder, ips):
        self.folder, self.ips = folder, ips
        self.rules, self.lock = {}, threading.Lock()
        for name in ips:
            self.write(name)

    def path(self, name):
        return self.folder / (name + ".links")

    def write(self, name):
        worst = {}
        for rules in self.rules.values():
            for start, end, share in rules:
                if end == name:
                    worst[start] = max(share, worst.get(start, 0.0))
        text = "".join("%s %g\n" % (self.ips[start], share) for start, share in sorted(worst.items()))
        fresh = self.folder / (name + ".links.new")  # settings have a .new of their own
        fresh.write_text(text)
        os.replace(fresh, self.path(name))

    def put(self, key, rules):
        """Rules are (from, to, share of packets lost); several keys hold side by side, the worst counts."""
        with self.lock:
            before = self.rules.pop(key, [])
            if rules:
                self.rules[key] = rules
            for name in {end for _, end, _ in before + rules}:
                self.write(name)

    def heal(self, key):
        self.put(key, [])

    def in_force(self, name, limit=10.0):
        """Waits until a running node follows its rules, as its shim tells; whether it does within `limit` seconds.
        A node that was never given a rule has told nothing, and follows none."""
        seen = self.path(name).with_suffix(".links.seen")
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if self.path(name).read_text() == (seen.read_text() if seen.exists() else ""):
                return True
            time.sleep(0.01)
        return False


def both_ways(one_side, other_side, share=CUT):
    pairs = [(one, other) for one in one_side for other in other_side if one != other]
    return [(one, other, share) for one, other in pairs] + [(other, one, share) for one, other in pairs]


def one_way(senders, receivers, share=CUT):
    return [(one, other, share) for one in senders for other in receivers if one != other]
