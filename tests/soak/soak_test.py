"""The soak's own parts under test: courses, who is in touch, links that hang, verdict lines, planted faults."""

import json
import pathlib
import shlex
import sys
import tempfile
import threading

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
from addresses import FIRST_NET, LAST_NET, NETS_OF_A_SHAPE, net_of
from course import SHAPES, draw
from links import Links, both_ways, one_way
from planted import PLANTED, found_out
from soak_fleet import Fleet
from soak_verdict import broken_rules, invariants, memory, own_ends, polite_stops, recovery
from touch import FOREVER, Ledger, harmed_cores, majority_gone, planned_stops, spans
from troubles import Troubles

CORES, EDGES, CONTACT = ["c1", "c2", "c3", "c4"], ["e1", "e2"], 3000
SEEDS = range(60)


def harm(start, end, nodes=(), pairs=(), lossy=False):
    return {"kind": "x", "nodes": list(nodes), "pairs": list(pairs), "lossy": lossy, "from": start, "to": end}


def told(*harms):
    return spans(list(harms), CORES, EDGES, CONTACT)


def courses_repeat_and_overlap():
    for shape in SHAPES:
        kinds = set()
        for seed in SEEDS:
            course = draw(seed, shape, 60)
            assert course == draw(seed, shape, 60) and course
            assert all(trouble["at"] < 60 for trouble in course)
            kinds |= {trouble["kind"] for trouble in course}
            for trouble in draw(seed, shape, 1000):  # the last of a cut-off course may stand alone
                others = [other for other in draw(seed, shape, 1000) if other is not trouble and other != trouble
                          and other["at"] <= trouble["at"] + trouble["lasts"]
                          and other["at"] + other["lasts"] >= trouble["at"]]  # fmt: skip
                assert 1 <= len(others) <= 2 or trouble["at"] > 980, (shape, seed, trouble, others)
            if seed > 3:
                break
        for seed in SEEDS:
            kinds |= {trouble["kind"] for trouble in draw(seed, shape, 300)}
        assert kinds == set(SHAPES[shape]), (shape, kinds ^ set(SHAPES[shape]))


def every_kind_is_known():
    known = set(Troubles(None).steps)
    assert set().union(*SHAPES.values()) == known, known ^ set().union(*SHAPES.values())


def an_edge_in_trouble_is_out_of_touch():
    found = told(harm(100, 200, ["e1"]))
    assert found == {"away": [{"node": "e1", "from": 100, "to": 3200}], "apart": [{"node": "e1", "from": 100,
                     "to": 3200}], "rough": []}  # fmt: skip


def a_core_node_in_trouble_unsettles_all():
    found = told(harm(100, 200, ["c1"]))
    assert found["away"] == [{"node": "*", "from": 100, "to": 3200}]
    assert found["apart"] == [] and found["rough"] == [{"from": 100, "to": 3200}]
    two = told(harm(100, 200, ["c1"]), harm(150, 300, ["c2"]))
    assert two["apart"] == [{"node": "*", "from": 150, "to": 3200}], two


def cuts_by_their_ends():
    edge_core = told(harm(100, 200, pairs=[("c1", "e1")]))
    assert [span["node"] for span in edge_core["away"]] == ["e1"] and edge_core["rough"] == [{"from": 100, "to": 200}]
    edges = told(harm(100, 200, pairs=[("e1", "e2")]))  # a path is left through the core
    assert edges["away"] == [] and edges["rough"] == [{"from": 100, "to": 200}]
    core = told(harm(100, 200, pairs=[("c1", "c2"), ("c1", "c4"), ("c2", "c3"), ("c3", "c4")]))
    assert core["away"][0]["node"] == "*" and core["apart"][0]["node"] == "*"
    lossy = told(harm(100, 200, pairs=[("e1", "e2")], lossy=True))
    assert sorted(span["node"] for span in lossy["away"]) == ["e1", "e2"]
    assert harmed_cores(harm(1, 2, pairs=[("c1", "e1")]), CORES) == set()


def planned_stops_are_told_apart():
    stop, other = harm(100, 900, ["e1"]), harm(50, 70, ["c1"])
    stop["kind"] = "stop_edge"
    found = planned_stops([stop, other], CONTACT, 8000)
    assert found == {"stops": [{"node": "e1", "from": 100, "to": 9100}], "unplanned": [{"from": 50, "to": 3070}]}, found


def troubles_that_never_end_are_never_over():
    found = told(harm(100, FOREVER, ["c1"]), harm(300, FOREVER, ["c2"]))
    assert found["away"][0]["to"] == FOREVER and found["apart"][0]["to"] == FOREVER
    assert majority_gone([harm(100, 200, ["c1"]), harm(300, 400, ["c2"])], CORES) == []


def ledgers_note_before_and_after():
    ledger = Ledger()
    noted = ledger.begin("pause", nodes=["e1"])
    assert ledger.harms[0]["to"] == FOREVER
    ledger.end(noted)
    assert ledger.harms[0]["from"] <= ledger.harms[0]["to"] < FOREVER


def links_keep_the_worst_of_overlapping_rules():
    folder = pathlib.Path(tempfile.mkdtemp(prefix="dockrock-links-"))
    links = Links(folder, {"a": "127.1.9.1", "b": "127.1.9.2", "c": "127.1.9.3"})
    links.put("lossy", both_ways(["a"], ["b", "c"], 0.2))
    links.put("cut", one_way(["a"], ["b"]))
    assert links.path("b").read_text() == "127.1.9.1 1\n" and links.path("a").read_text().count("0.2") == 2
    links.heal("cut")
    assert links.path("b").read_text() == "127.1.9.1 0.2\n"
    links.heal("lossy")
    assert links.path("b").read_text() == "" and links.path("a").read_text() == ""


class Running:
    def __init__(self, runs):
        self.runs, self.told = runs, False

    def running(self):
        return self.runs


class FleetOfOne(Fleet):
    """Nothing but what a start looks at; `started` counts the processes."""

    def __init__(self, process):
        self.starting, self.closed, self.lives, self.started_at = threading.Lock(), False, {"c1": 0}, {}
        self.processes = {"c1": process}
        self.launched = 0

    def launch(self, name):
        self.launched += 1


def a_node_that_runs_is_not_started_again():
    for process, launched in ((None, 1), (Running(False), 1), (Running(True), 0)):
        fleet = FleetOfOne(process)
        fleet.start_node("c1")
        assert fleet.launched == launched and fleet.lives["c1"] == launched


def links_leave_settings_that_are_being_written():
    with tempfile.TemporaryDirectory() as made:
        folder = pathlib.Path(made)
        (folder / "e1.new").write_text("settings")
        Links(folder, {"e1": "127.1.0.1", "c1": "127.1.0.2"}).put("cut", one_way(["c1"], ["e1"]))
        assert (folder / "e1.new").read_text() == "settings"


def verdict_lines():
    assert own_ends([], 5)["state"] == "held"
    assert own_ends([{"node": "e1", "at": 4, "code": -11}], 5)["state"] == "BROKEN"
    assert recovery(3.0, 12)["state"] == "held" and recovery(None, 12)["state"] == "BROKEN"
    stop = {"node": "c1", "at": 4, "code": 0, "seconds": 6.0}
    assert polite_stops([], 8)["state"] == "not judged" and polite_stops([stop], 8)["state"] == "held"
    assert polite_stops([{**stop, "code": None, "seconds": 8.0}], 8)["state"] == "BROKEN"
    assert polite_stops([{**stop, "code": -6}], 8)["state"] == "BROKEN"
    assert memory({}, 9)["state"] == "not judged" and memory({"e1": 9}, 9)["state"] == "held"
    assert memory({"e1": 9, "e2": 10}, 9)["state"] == "BROKEN"
    assert invariants({})["state"] == "not judged"
    name = "dockrock_invariant_violations_total"
    assert invariants({("c1", 1, name): 0.0})["state"] == "held"
    lines = [invariants({("c1", 1, name + '{invariant="I3"}'): 2.0}), recovery(1.0, 12)]
    assert broken_rules(lines) == ["INVARIANTS"]


def planted_faults_are_found_by_their_words():
    for name, (_, _, rule, words) in PLANTED.items():
        assert found_out(name, [{"rule": rule, "first": ["x " + words + " y"]}])
        assert not found_out(name, [{"rule": rule, "first": ["x"]}, {"rule": "OTHER", "first": [words]}])


def no_two_runs_share_addresses():
    of_shapes = [net_of(shape, seed) for shape in SHAPES for seed in range(NETS_OF_A_SHAPE)]
    of_planted = [net_of("mixed", 1, name) for name in PLANTED]
    nets = of_shapes + of_planted
    assert len(set(nets)) == len(nets)
    assert min(nets) == FIRST_NET and max(nets) <= LAST_NET


def soaks_of_the_test_command_can_go_side_by_side():
    script = pathlib.Path(__file__).resolve().parents[2] / "scripts" / "test.sh"
    runs = [shlex.split(line)[2:] for line in script.read_text().splitlines() if line.startswith("soak ")]
    nets = []
    for words in runs:
        told = dict(zip(words[::2], words[1::2]))
        shape = told.get("--shape") or PLANTED[told["--planted"]][1]
        nets.append(net_of(shape, int(told["--seed"]), told.get("--planted")))
    assert len(nets) >= 5 and len(set(nets)) == len(nets), nets


def main():
    for test in (courses_repeat_and_overlap, every_kind_is_known,
                 an_edge_in_trouble_is_out_of_touch, a_core_node_in_trouble_unsettles_all, cuts_by_their_ends,
                 planned_stops_are_told_apart, troubles_that_never_end_are_never_over, ledgers_note_before_and_after,
                 links_keep_the_worst_of_overlapping_rules,
                 links_leave_settings_that_are_being_written, verdict_lines, a_node_that_runs_is_not_started_again,
                 planted_faults_are_found_by_their_words, no_two_runs_share_addresses,
                 soaks_of_the_test_command_can_go_side_by_side):  # fmt: skip
        test()
    print(json.dumps({"soak tests": "passed"}))


main()
