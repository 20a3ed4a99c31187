"""Judges a fleet's run by what replicas, platform and callers wrote down.

Every rule ends as held, BROKEN or not judged: what a run did not exercise was not held."""

import bisect
import collections

from records import Records, weights_at

HELD, BROKEN, NOT_JUDGED = "held", "BROKEN", "not judged"
SECOND = 1_000_000
EXTRA_SHARE, EXTRA_SLACK, EXTRA_WINDOW = 0.2, 10, 10 * SECOND


class Judge:
    def __init__(self, folder, run_once_kinds, facts):
        self.records, self.kinds, self.facts = Records(folder), run_once_kinds, facts
        self.verdicts = []

    def rule(self, number, name, bad, judged, seen):
        state = BROKEN if bad else HELD if judged else NOT_JUDGED
        if state == NOT_JUDGED and number in self.facts.get("must_judge", []):
            state, seen = BROKEN, "this scenario is there to judge it; " + seen
        against = "%d against it: %s; " % (len(bad), str(bad[:2])[:300]) if bad else ""
        self.verdicts.append((number, name, state, against + seen))

    def run_once(self):
        once = {key: runs for key, runs in self.records.runs_by_identity.items() if runs[0]["kind"] in self.kinds}
        again = {call["identity"] for call in self.records.calls if call.get("asking", 0) > 0}
        seen = "%d identities ran, %d asked for through two nodes or more" % (len(once), len(again))
        self.rule(
            1, "run-once tickets run once", [key for key, runs in once.items() if len(runs) > 1], bool(once), seen
        )

    def shed(self):
        shed = [call for call in self.records.calls if call["outcome"] == "shed"]
        ran = {run.get("ticket") for run in self.records.runs}
        asked = collections.Counter(call["identity"] for call in self.records.calls)
        bad = [call["identity"] for call in shed if call.get("ticket") and call["ticket"] in ran]
        bad += [
            call["identity"]
            for call in shed
            if asked[call["identity"]] == 1 and call["identity"] in self.records.runs_by_identity
        ]
        silent = [call["identity"] for call in shed if call.get("status") == 503 and not call.get("retry_after")]
        self.rule(
            2, "what was shed did not run; 503 tells when to come back", bad + silent, bool(shed), "%d shed" % len(shed)
        )

    def stitched(self):
        bad = [
            call["identity"]
            for call in self.records.calls
            if call["outcome"] == "wrong-pieces" or call.get("runs", 0) > 1
        ]
        answered = self.records.answered()
        for call in answered:  # the pieces the caller saw are those of one run that finished
            runs = self.records.runs_by_identity.get(call["identity"], [])
            if not runs:
                bad.append("%s answered without a run" % call["identity"])
        self.rule(3, "no stitched answers", bad, bool(answered), "%d answered" % len(answered))

    def drains(self):
        since, spans = {}, collections.defaultdict(list)
        for line in self.records.platform:
            if line["event"] != "drain":
                continue
            if line["drain"] and line["name"] not in since:
                since[line["name"]] = line["at"]
            if not line["drain"] and line["name"] in since:
                spans[line["name"]].append((since.pop(line["name"]), line["at"]))
        for name, at in since.items():
            spans[name].append((at, float("inf")))
        after = [
            (run["replica"], run["at"] - begin)
            for run in self.records.runs
            for begin, end in spans.get(run["replica"], [])
            if begin < run["at"] < end
        ]
        late = [item for item in after if item[1] > 3 * SECOND]
        newest = max((run["at"] for run in self.records.runs), default=0)
        tested = [begin for items in spans.values() for begin, end in items if min(newest, end) > begin + 3 * SECOND]
        seen = "%d marked, %d with traffic 3 s later, latest new work %d ms after" % (
            sum(len(items) for items in spans.values()),
            len(tested),
            max((item[1] for item in after), default=0) // 1000,
        )
        self.rule(4, "no new work on leaving replicas after 3 s", late, bool(tested), seen)

    def keys(self):
        revoked = self.facts.get("revoked", [])  # (tenant, acknowledged at)
        bad = [
            (run["tenant"], run["at"] - at)
            for tenant, at in revoked
            for run in self.records.runs
            if run["tenant"].split("/")[-1] == tenant and run["at"] > at + 5 * SECOND
        ]
        tried = [
            call
            for tenant, at in revoked
            for call in self.records.calls
            if call["tenant"] == tenant and call["began"] > at + 5 * SECOND
        ]
        alive = self.facts.get("revoked_alive", [])
        seen = "%d revoked, %d tickets tried over 5 s later, %d kept-open connections" % (
            len(revoked),
            len(tried),
            self.facts.get("kept_open", 0),
        )
        self.rule(5, "revoked keys dead after 5 s, on open connections too", bad + alive, bool(tried), seen)

    def in_force(self):
        times = self.facts.get("in_force", [])
        slow = [item for item in times if item[1] > 2.0] + self.facts.get("went_back", [])
        seen = "%d measured, slowest %.2f s" % (len(times), max((item[1] for item in times), default=0))
        self.rule(6, "acknowledged configuration in force within 2 s, never back", slow, bool(times), seen)

    def read_back(self):
        reads, wrong = self.facts.get("reads", 0), self.facts.get("wrong_reads", [])
        self.rule(7, "losers and refused never in force; read-back", wrong, reads, "%d reads" % reads)

    def walls(self):
        domains = self.facts.get("wall_domains", {})  # tenant name -> domain, worked out from the tree itself
        bad = [line["what"] for line in self.records.violations]
        used = 0
        for run in self.records.runs:
            mine = domains.get(run["tenant"].split("/")[-1])
            if mine is not None and run["wall"] != mine:
                bad.append((run["tenant"], "told wall", run["wall"], "is", mine))
            if run["kept"] <= 0:
                continue
            used += run["wall"] != "fleet"
            if run.get("touched_wall", run["wall"]) != run["wall"]:
                bad.append((run["tenant"], run["touched"]))
            if run["wall"].startswith("tenant:") and run["touched"] != run["tenant"]:
                bad.append((run["tenant"], run["touched"]))
        seen = "%d runs behind a wall used kept memory" % used
        self.rule(8, "no prefix memory is touched across a wall", bad, bool(used), seen)

    def weights(self):
        rolled = self.facts.get("weights", [])
        bad = [item for item in rolled if item[1] > 20]
        used = [run for run in self.records.runs if run["kept"] > 0]
        for run in used:
            served = weights_at(self.records.replicas[run["replica"]], run["at"])
            if run["weights"] != served or run.get("touched_weights", served) != served:
                bad.append((run["identity"], run["weights"], run.get("touched_weights"), served))
        named = {run["weights"] for run in self.records.runs}
        seen = "%d runs on kept memory, %d weights seen, %d roll-outs, slowest %.1f s" % (
            len(used),
            len(named),
            len(rolled),
            max((item[1] for item in rolled), default=0),
        )
        self.rule(9, "kept memory only of the same weights; new weights within 20 s", bad, bool(used and rolled), seen)

    def planned(self):
        planned = self.facts.get("planned", 0)
        cut = [call["identity"] for call in self.records.calls if call["outcome"] in ("broken", "lost")]
        judged = planned > 0 and not self.facts.get("unplanned")
        seen = "%d planned changes" % planned if judged else "machines were lost here, or nothing was changed"
        self.rule(10, "planned restarts and changes cut no answer", cut if judged else [], judged, seen)

    def extra_tries(self):
        tries = sorted(
            (line["at"], line.get("ticket", line["identity"])) for line in self.records.runs + self.records.refusals
        )
        known, extra = set(), []
        for at, ticket in tries:
            if ticket in known:
                extra.append(at)
            known.add(ticket)
        began = sorted(call["began"] for call in self.records.calls)
        worst = (0.0, 0, 0)
        for place, at in enumerate(extra):  # any ten seconds, for the whole fleet
            until = bisect.bisect_right(extra, at + EXTRA_WINDOW)
            tickets = bisect.bisect_right(began, at + EXTRA_WINDOW) - bisect.bisect_left(began, at - SECOND)
            allowed = EXTRA_SHARE * tickets + EXTRA_SLACK
            worst = max(worst, ((until - place) / allowed, until - place, tickets))
        bad = ["%d extra tries in ten seconds with %d tickets" % worst[1:]] if worst[0] > 1 else []
        seen = "%d extra for %d tickets, worst ten seconds %d of %d" % ((len(extra), len(began)) + worst[1:])
        self.rule(11, "extra tries within a fifth plus ten, in any ten seconds", bad, bool(tries), seen)

    def holders(self):
        holders, bad = collections.defaultdict(set), []
        for name, lines in self.records.replicas.items():
            highest, life = 0, 0
            for line in lines:
                if line["event"] == "started":
                    highest, life = 0, life + 1
                if line["event"] != "order" or not line["accepted"]:
                    continue
                holders[(name, life, line["fence"])].add(line["holder"])
                if line["fence"] < highest:
                    bad.append((name, line["fence"], "after", highest))
                highest = line["fence"]
        bad += [key for key, value in holders.items() if len(value) > 1]
        back = self.facts.get("back_after_loss", [])
        bad += [item for item in back if item > 12]
        seen = "%d orders, back after total loss: %s" % (len(self.records.orders), back or "not in this run")
        self.rule(
            12, "one holder orders a replica; service within 12 s of total loss", bad, bool(holders or back), seen
        )

    def whole(self):
        answered, calls = len(self.records.answered()), len(self.records.calls)
        bad = self.facts.get("died", []) + self.facts.get("stuck", [])
        if not answered:
            bad = bad + ["no ticket was answered"]
        self.rule(
            0,
            "no node ends by itself, none gets stuck, tickets are answered",
            bad,
            True,
            "%d of %d answered" % (answered, calls),
        )

    def invariants(self):
        bad, watched = self.facts.get("violated", []), self.facts.get("watched", 0)
        self.rule(13, "no node met a violated invariant", bad, bool(watched), "%d nodes watched" % watched)

    def judge(self):
        for step in (
            self.run_once,
            self.shed,
            self.stitched,
            self.drains,
            self.keys,
            self.in_force,
            self.read_back,
            self.walls,
            self.weights,
            self.planned,
            self.extra_tries,
            self.holders,
            self.whole,
            self.invariants,
        ):
            step()
        return self.verdicts


def judge(folder, run_once_kinds, facts=None):
    judging = Judge(folder, run_once_kinds, facts or {})
    return judging.judge(), judging.records
