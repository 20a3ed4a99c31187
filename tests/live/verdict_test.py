"""The verdict itself under test: a clean run holds, and each rule's planted fault is caught by that rule alone."""

import copy
import json
import pathlib
import sys
import tempfile

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
import verdict
from invariant_watch import METRIC, counted
from records import wall_domains

SECOND = 1_000_000
TREE = {
    "root": {
        "name": "root",
        "wall": "shared",
        "groups": [
            {"name": "inner", "wall": "group", "tenants": [{"name": "grouped"}]},
            {"name": "outer", "tenants": [{"name": "alone", "wall": "isolated"}, {"name": "open"}]},
        ],
    }
}
PATHS = {"grouped": "/root/inner/grouped", "alone": "/root/outer/alone", "open": "/root/outer/open"}


def clean():
    """Two replicas, three tenants, ten tickets each second for twenty seconds, every rule exercised."""
    domains = wall_domains(TREE)
    calls, replicas = [], {"r0": [], "r1": []}
    for name, lines in replicas.items():
        lines.append({"event": "started", "at": 0, "weights": "w1"})
        lines.append({"event": "order", "at": 10 * SECOND, "fence": 1, "accepted": True, "holder": "h1"})
        lines.append({"event": "weights", "at": 10 * SECOND, "weights": "w2"})
    for number in range(200):
        at = number * SECOND // 10 + 1
        tenant = list(PATHS)[number % 3]
        identity = "t-%d" % number
        weights = "w1" if at < 10 * SECOND else "w2"
        call = {"identity": tenant + "/" + identity, "tenant": tenant, "kind": "review", "began": at, "asking": 0}
        if number % 50 == 49:
            calls.append(dict(call, outcome="shed", status=503, ticket=str(number), retry_after="1"))
            continue
        calls.append(dict(call, outcome="answered", status=200, ticket=str(number), runs=1, first_piece=1, took=2))
        run = {"event": "run", "at": at + 10, "identity": PATHS[tenant] + "/" + identity, "ticket": str(number)}
        run.update(
            tenant=PATHS[tenant], wall=domains[tenant], kind="review", weights=weights, overload=False, prefix=10
        )
        run.update(kept=5, touched=PATHS[tenant], touched_wall=domains[tenant], touched_weights=weights)
        replicas["r1" if at > 12 * SECOND else "r%d" % (number % 2)].append(run)
    platform = [{"event": "drain", "name": "r0", "drain": True, "at": 11 * SECOND}]
    facts = {
        "planned": 1,
        "in_force": [("n", 0.1)],
        "reads": 1,
        "weights": [("w2", 4.0)],
        "wall_domains": domains,
        "revoked": [("gone", 0)],
        "back_after_loss": [5.0],
        "watched": 13,
    }
    calls.append({"identity": "gone/x", "tenant": "gone", "kind": "review", "began": 9 * SECOND, "outcome": "refused"})
    return {"calls": calls, "replicas": replicas, "platform": platform, "facts": facts}


def judged(world):
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        files = {"caller-load": world["calls"], "platform": world["platform"]}
        files.update({"replica-" + replica: lines for replica, lines in world["replicas"].items()})
        for stem, lines in files.items():
            (folder / (stem + ".jsonl")).write_text("".join(json.dumps(line) + "\n" for line in lines))
        verdicts, _ = verdict.judge(folder, {"review"}, world["facts"])
        return {number: state for number, _, state, _ in verdicts}


def runs(world):
    return [line for lines in world["replicas"].values() for line in lines if line["event"] == "run"]


def first(world, tenant):
    return next(run for run in runs(world) if run["tenant"] == PATHS[tenant])


def extra_tries(world):
    for place, run in enumerate(runs(world)[:60]):
        world["replicas"]["r1"].append(
            dict(run, event="refused", at=5 * SECOND + place, reason="busy")
            if place % 2
            else dict(run, event="refused", at=5 * SECOND + place)
        )
    world["calls"] = [call for call in world["calls"] if call["began"] < 2 * SECOND or call["began"] > 8 * SECOND]


def set_fact(name, value):
    return lambda world: world["facts"].update({name: value})


PLANTED = {
    1: [lambda world: world["replicas"]["r1"].append(dict(runs(world)[0], ticket="another"))],
    2: [
        lambda world: world["calls"][49].update(ticket="0"),
        lambda world: world["calls"][49].update(retry_after=""),
    ],
    3: [lambda world: world["calls"][0].update(runs=2), lambda world: world["calls"][0].update(outcome="wrong-pieces")],
    4: [
        lambda world: world["replicas"]["r0"].append(dict(runs(world)[-1], ticket="x", identity="/a/x", at=15 * SECOND))
    ],
    5: [
        lambda world: world["replicas"]["r1"].append(
            dict(first(world, "open"), tenant="/root/gone", identity="/root/gone/x", ticket="x", at=6 * SECOND, kept=0)
        ),
        set_fact("revoked_alive", ["on a connection kept open"]),
    ],
    6: [set_fact("in_force", [("n", 2.1)]), set_fact("went_back", ["n"])],
    7: [set_fact("wrong_reads", ["loser"])],
    8: [
        lambda world: first(world, "alone").update(touched=PATHS["open"]),
        lambda world: first(world, "grouped").update(touched_wall="fleet"),
        lambda world: first(world, "grouped").update(wall="fleet", touched_wall="fleet"),
    ],
    9: [lambda world: first(world, "open").update(touched_weights="w0"), set_fact("weights", [("w2", 20.5)])],
    10: [lambda world: world["calls"][-2].update(outcome="broken")],
    11: [extra_tries],
    12: [
        lambda world: world["replicas"]["r0"].append(
            {"event": "order", "at": 9e6, "fence": 1, "accepted": True, "holder": "h2"}
        ),
        lambda world: world["replicas"]["r0"].append(
            {"event": "order", "at": 9e6, "fence": 0, "accepted": True, "holder": "h1"}
        ),
        set_fact("back_after_loss", [12.5]),
    ],
    13: [set_fact("violated", ["n: one-lease 1"])],
    0: [set_fact("died", ["n"]), lambda world: [call.update(outcome="lost") for call in world["calls"]]],
}


def main():
    failures = []
    held = judged(clean())
    failures += ["clean run: rule %d %s" % item for item in held.items() if item[1] != verdict.HELD]
    for number, plants in PLANTED.items():
        for place, plant in enumerate(plants):
            world = copy.deepcopy(clean())
            plant(world)
            seen = judged(world)
            if seen[number] != verdict.BROKEN:
                failures.append("rule %d, plant %d was not caught" % (number, place))
    empty = judged({"calls": [], "replicas": {"r0": []}, "platform": [], "facts": {}})
    failures += [
        "nothing was exercised, yet rule %d is %s" % item
        for item in empty.items()
        if item[0] and item[1] != verdict.NOT_JUDGED
    ]
    failures += ["an empty run passes"] if empty[0] != verdict.BROKEN else []
    strict = judged({"calls": [], "replicas": {"r0": []}, "platform": [], "facts": {"must_judge": [4]}})
    failures += ["a rule that must be judged was not, and passed"] if strict[4] != verdict.BROKEN else []
    told = "dockrock_ready 1\n" + METRIC + 'one-lease"} 2\n'
    failures += ["a node's counts of violated invariants are misread"] if counted(told) != {"one-lease": 2} else []
    for item in failures:
        print(item)
    print(
        "verdict: %d planted faults, %d not caught or wrongly judged" % (sum(map(len, PLANTED.values())), len(failures))
    )
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
