"""What replicas, platform and callers wrote down, read back and counted."""

import collections
import json


def read_lines(path):
    if not path.exists():
        return []
    lines = []
    for line in path.read_text(errors="replace").splitlines():
        try:
            lines.append(json.loads(line))
        except ValueError:
            pass  # the last line of a killed process
    return lines


class Records:
    def __init__(self, folder):
        self.calls = [line for path in sorted(folder.glob("caller-*.jsonl")) for line in read_lines(path)]
        self.replicas = {
            path.stem.removeprefix("replica-"): read_lines(path) for path in sorted(folder.glob("replica-*.jsonl"))
        }
        self.platform = read_lines(folder / "platform.jsonl")
        self.runs = self.of_kind("run")
        self.refusals = self.of_kind("refused")
        self.violations = self.of_kind("violation")
        self.orders = self.of_kind("order")
        self.runs_by_identity = collections.defaultdict(list)
        for run in self.runs:
            self.runs_by_identity["/".join(run["identity"].split("/")[-2:])].append(run)

    def of_kind(self, kind):
        return [
            dict(line, replica=name) for name, lines in self.replicas.items() for line in lines if line["event"] == kind
        ]

    def answered(self):
        return [call for call in self.calls if call["outcome"] == "answered"]


def percentile(values, part):
    values = sorted(values)
    return values[min(len(values) - 1, int(len(values) * part))] if values else None


def milliseconds(values, part):
    value = percentile(values, part)
    return "-" if value is None else str(value // 1000)


def summary(records):
    text = ["outcomes %s" % dict(collections.Counter(call["outcome"] for call in records.calls))]
    for kind in sorted({call["kind"] for call in records.calls}):
        answered = [call for call in records.answered() if call["kind"] == kind]
        first = [call["first_piece"] for call in answered if "first_piece" in call]
        whole = [call["took"] for call in answered]
        text.append(
            "  %-22s answered %4d  first piece ms p50 %s p95 %s p99 %s  whole ms p50 %s p95 %s p99 %s"
            % (
                (kind, len(answered))
                + tuple(milliseconds(values, part) for values in (first, whole) for part in (0.5, 0.95, 0.99))
            )
        )
    reasons = collections.Counter(
        call.get("reason", "") for call in records.calls if call["outcome"] in ("shed", "unknown")
    )
    text.append("shed and unknown by reason %s" % dict(reasons))
    refused = collections.Counter(line["reason"] for line in records.refusals)
    text.append("runs %d, refused by replicas %s" % (len(records.runs), dict(refused)))
    kept = sum(run["kept"] for run in records.runs)
    prefix = sum(run["prefix"] for run in records.runs)
    overloads = sum(1 for run in records.runs if run["overload"])
    share = 100 * kept / prefix if prefix else 0
    text.append("prefix tokens %d, found kept %.0f%%, overloads %d" % (prefix, share, overloads))
    return "\n".join(text)


def weights_at(lines, at):
    current = None
    for line in lines:
        if line["at"] > at:
            break
        if line["event"] in ("started", "weights"):
            current = line["weights"]
    return current


def wall_domains(tree):
    """Each tenant's wall domain, worked out from the tree apart from the product's own reading."""
    found = {}

    def visit(branch, wall, domain, path):
        wall = branch.get("wall", wall)
        if branch.get("wall") == "group":
            domain = "group:" + path
        for tenant in branch.get("tenants", []):
            own, place = tenant.get("wall", wall), path + "/" + tenant["name"]
            if own == "isolated":
                found[tenant["name"]] = "tenant:" + place
            else:
                found[tenant["name"]] = "group:" + place if tenant.get("wall") == "group" else domain
        for group in branch.get("groups", []):
            visit(group, wall, domain, path + "/" + group["name"])

    visit(tree["root"], "shared", "fleet", "/" + tree["root"]["name"])
    return found
