"""What the nodes of a soak tell of themselves: invariants that they found broken, and their memory."""

import tomllib

from paths import ROOT, call

HTTP_PORT = 7375
ASK_LIMIT_S = 0.5
VIOLATIONS = "dockrock_invariant_violations_total"
PEAK = 'dockrock_memory_bytes{kind="resident_peak"}'


def metrics_place():
    """PORT/PATH as the deploy file tells it; the node's own port otherwise."""
    roles = tomllib.loads((ROOT / "deploy" / "system.toml").read_text()).get("roles", {})
    told = [role["metrics"] for role in roles.values() if "metrics" in role]
    port, _, path = (told[0] if told else "%d/metrics" % HTTP_PORT).partition("/")
    return int(port), "/" + path


class NodeMetrics:
    """The most of what any life of a node told."""

    def __init__(self, fleet):
        self.fleet, self.violations, self.peaks = fleet, {}, {}

    def look(self):
        port, path = metrics_place()
        for name in self.fleet.cores + self.fleet.edges:
            status, _, text = call("%s:%d" % (self.fleet.ips[name], port), "GET", path, timeout=ASK_LIMIT_S)
            for line in text.splitlines() if status == 200 else []:
                self.take(name, *line.rpartition(" ")[::2])

    def take(self, name, key, value):
        if key == PEAK:
            self.peaks[name] = max(int(value), self.peaks.get(name, 0))
        elif key.startswith(VIOLATIONS):
            found = (name, self.fleet.lives[name], key)
            self.violations[found] = max(float(value), self.violations.get(found, 0.0))
