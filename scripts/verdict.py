"""Judges a fleet's run by what replicas, platform and callers wrote down."""
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
            path.stem.removeprefix("replica-"): read_lines(path) for path in folder.glob("replica-*.jsonl")
        }
        self.platform = read_lines(folder / "platform.jsonl")
        self.runs = [
            dict(line, replica=name)
            for name, lines in self.replicas.items()
            for line in lines
            if line["event"] == "run"
        ]
        self.refusals = [
            dict(line, replica=name)
            for name, lines in self.replicas.items()
            for line in lines
            if line["event"] == "refused"
        ]
        self.runs_by_ticket = collections.defaultdict(list)
        for run in self.runs:
            self.runs_by_ticket["/".join(run["identity"].split("/")[-2:])].append(run)


def outcome_counts(calls):
    return dict(collections.Counter(call["outcome"] for call in calls))


def percentile(values, part):
    values = sorted(values)
    return values[min(len(values) - 1, int(len(values) * part))] if values else None


def judge(folder, run_once_kinds, facts=None):
    """A list of (rule, held, what was seen)."""
    facts = facts or {}
    records = Records(folder)
    verdicts = []

    def rule(name, bad, seen):
        verdicts.append((name, not bad, ("%d against it: %s; " % (len(bad), str(bad[:2])[:300]) if bad else "") + seen))

    once = {ticket: runs for ticket, runs in records.runs_by_ticket.items() if runs[0]["kind"] in run_once_kinds}
    rule(
        "1 run-once tickets run once",
        [ticket for ticket, runs in once.items() if len(runs) > 1],
        "%d run-once tickets ran, %d identities asked for through two nodes or more"
        % (len(once), len({call["identity"] for call in records.calls if call.get("asking", 0) > 0})),
    )
    shed = [call for call in records.calls if call["outcome"] == "shed"]
    ran = {run["ticket"] for run in records.runs}
    asked = collections.Counter(call["identity"] for call in records.calls)
    rule(
        "2 what was shed did not run",
        [call["identity"] for call in shed if call.get("ticket") in ran]
        + [
            call["identity"]
            for call in shed
            if asked[call["identity"]] == 1 and call["identity"] in records.runs_by_ticket
        ],
        "%d shed" % len(shed),
    )
    answered = [call for call in records.calls if call["outcome"] == "answered"]
    stitched = [
        call["identity"] for call in records.calls if call["outcome"] == "wrong-pieces" or call.get("runs", 0) > 1
    ]
    rule("3 no stitched answers", stitched, "%d answered" % len(answered))
    drains = {}
    late = []
    for line in records.platform:
        if line["event"] == "drain":
            drains[line["name"]] = line["at"] if line["drain"] else None
    for run in records.runs:
        since = drains.get(run["replica"])
        if since and run["at"] > since + 3_000_000:
            late.append((run["replica"], run["at"] - since))
    after = [
        run["at"] - drains[run["replica"]]
        for run in records.runs
        if drains.get(run["replica"]) and run["at"] > drains[run["replica"]]
    ]
    rule(
        "4 no new work on leaving replicas after 3 s",
        late,
        "%d marked, latest new work %d ms after" % (len(drains), max(after, default=0) // 1000),
    )
    revoked = facts.get("revoked", [])  # (tenant, acknowledged at)
    bad = [
        (run["tenant"], run["at"] - at)
        for tenant, at in revoked
        for run in records.runs
        if run["tenant"].split("/")[-1] == tenant and run["at"] > at + 5_000_000
    ]
    rule("5 revoked keys dead after 5 s", bad + facts.get("revoked_alive", []), "%d revoked" % len(revoked))
    slow = [item for item in facts.get("in_force", []) if item[1] > 2.0]
    rule(
        "6 acknowledged configuration in force within 2 s",
        slow + facts.get("went_back", []),
        "%d measured, slowest %.2f s"
        % (len(facts.get("in_force", [])), max((item[1] for item in facts.get("in_force", [])), default=0)),
    )
    rule(
        "7 losers and refused never in force; read-back is the last acknowledged",
        facts.get("wrong_reads", []),
        "%d reads" % facts.get("reads", 0),
    )
    walls = [
        (run["tenant"], run["touched"])
        for run in records.runs
        if run["wall"].startswith("tenant:") and run["touched"] and run["touched"] != run["tenant"]
    ]
    violations = [line for lines in records.replicas.values() for line in lines if line["event"] == "violation"]
    isolated = sum(1 for run in records.runs if run["wall"].startswith("tenant:") and run["kept"] > 0)
    rule(
        "8 isolated tenants touch only their own memory",
        walls + violations,
        "%d isolated runs used kept memory" % isolated,
    )
    wrong = [
        run["identity"]
        for run in records.runs
        if run.get("kept", 0) > 0 and run["weights"] != weights_at(records.replicas[run["replica"]], run["at"])
    ]
    rule(
        "9 kept memory only under the same weights; new weights within 20 s",
        wrong + [item for item in facts.get("weights", []) if item[1] > 20],
        "%d roll-outs, slowest %.1f s"
        % (len(facts.get("weights", [])), max((item[1] for item in facts.get("weights", [])), default=0)),
    )
    cut = (
        [call["identity"] for call in records.calls if call["outcome"] in ("broken", "lost")]
        if facts.get("planned_only")
        else []
    )
    rule(
        "10 planned changes cut no answer",
        cut,
        "planned only" if facts.get("planned_only") else "not judged: machines were killed here",
    )
    tickets = len(records.calls)
    tries = len(records.runs) + len(records.refusals)
    extra = max(0, tries - len([call for call in records.calls if call["identity"] in records.runs_by_ticket]))
    rule(
        "11 extra tries within a fifth plus slack",
        ["%d extra" % extra] if extra > 0.2 * tickets + 10 * facts.get("nodes", 13) else [],
        "%d extra for %d tickets" % (extra, tickets),
    )
    holders = collections.defaultdict(set)
    backwards = []
    for name, lines in records.replicas.items():
        highest = 0
        for line in lines:
            if line["event"] == "started":
                highest = 0
            if line["event"] != "order" or not line["accepted"]:
                continue
            holders[(name, line["fence"])].add(line["holder"])
            if line["fence"] < highest:
                backwards.append(name)
            highest = line["fence"]
    rule(
        "12 one holder orders a replica; service within 12 s of total loss",
        backwards
        + [key for key, value in holders.items() if len(value) > 1]
        + [item for item in facts.get("back_after_loss", []) if item > 12],
        "%d orders, back after total loss: %s"
        % (
            sum(1 for lines in records.replicas.values() for line in lines if line["event"] == "order"),
            facts.get("back_after_loss", "not in this run"),
        ),
    )
    rule(
        "no node ends by itself, none gets stuck",
        facts.get("died", []) + facts.get("stuck", []),
        "%d nodes" % facts.get("nodes", 0),
    )
    return verdicts, records


def weights_at(lines, at):
    current = None
    for line in lines:
        if line["at"] > at:
            break
        if line["event"] in ("started", "weights"):
            current = line["weights"]
    return current


def summary(records):
    text = ["outcomes %s" % outcome_counts(records.calls)]
    for kind in sorted({call["kind"] for call in records.calls}):
        answered = [call for call in records.calls if call["kind"] == kind and call["outcome"] == "answered"]
        text.append(
            "  %-22s answered %4d  first piece ms p50 %s p95 %s  whole ms p50 %s p95 %s p99 %s"
            % (
                kind,
                len(answered),
                *[
                    value // 1000 if value is not None else "-"
                    for value in (
                        percentile([call["first_piece"] for call in answered if "first_piece" in call], 0.5),
                        percentile([call["first_piece"] for call in answered if "first_piece" in call], 0.95),
                        percentile([call["took"] for call in answered], 0.5),
                        percentile([call["took"] for call in answered], 0.95),
                        percentile([call["took"] for call in answered], 0.99),
                    )
                ],
            )
        )
    reasons = collections.Counter(
        call.get("reason", "") for call in records.calls if call["outcome"] in ("shed", "unknown")
    )
    text.append("shed and unknown by reason %s" % dict(reasons))
    text.append(
        "runs %d, refused by replicas %s"
        % (len(records.runs), dict(collections.Counter(line["reason"] for line in records.refusals)))
    )
    kept = sum(run["kept"] for run in records.runs)
    prefix = sum(run["prefix"] for run in records.runs)
    text.append(
        "prefix tokens %d, found kept %.0f%%, overloads %d"
        % (prefix, 100 * kept / prefix if prefix else 0, sum(1 for run in records.runs if run["overload"]))
    )
    return "\n".join(text)
