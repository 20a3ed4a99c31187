"""Scenarios about the system's own nodes: lost leaders, resting."""
import time

from fleet import wait_until
from observe import settled


def takeover(fleet, options, facts):
    """The configuration's leader killed again and again, disks kept: what callers see of it."""
    fleet.start_caller("load", options.rate, options.seconds, options.seed)
    end = time.monotonic() + options.seconds - 3
    facts["leaders_killed"] = 0
    while time.monotonic() < end:
        name = wait_until(fleet.leader, 10, "a leader")
        fleet.kill(name)
        facts["leaders_killed"] += 1
        wait_until(fleet.leader, 10, "a new leader")
        fleet.start_node(name)
        wait_until(lambda: settled(fleet), 20, "pairs whole again")
    fleet.wait_caller("load", options.seconds + 40)


def light(fleet, options, facts):
    """Light traffic: some of the own nodes rest; then an awake one is killed, then the traffic rises eightfold."""
    begun = time.monotonic()
    wakeups = {name: fleet.metrics(name)["wakeups_total"] for name in fleet.edges}
    fleet.start_caller(
        "load",
        options.rate,
        options.seconds,
        options.seed,
        extra={"follow_ready": True, "rise_at": options.seconds * 0.75, "rise_by": 8.0},
    )
    most = 0
    while time.monotonic() < begun + options.seconds * 0.4:
        most = max(most, sum(fleet.metrics(name)["resting"] for name in fleet.edges))
        time.sleep(0.5)
    begun = time.monotonic()  # the measure begins once nodes rest
    process_time = {name: cpu_seconds(fleet, name) for name in fleet.edges}
    wakeups = {name: fleet.metrics(name)["wakeups_total"] for name in fleet.edges}
    time.sleep(options.seconds * 0.2)
    spent = time.monotonic() - begun
    print(
        "nodes resting at most %d of %d; all edges: CPU %.1f%% of one core, wakeups %.0f a second"
        % (
            most,
            len(fleet.edges),
            100 * sum(cpu_seconds(fleet, name) - process_time[name] for name in fleet.edges) / spent,
            sum(fleet.metrics(name)["wakeups_total"] - wakeups[name] for name in fleet.edges) / spent,
        )
    )
    awake = [name for name in fleet.edges if fleet.ready(name)]
    fleet.kill(awake[0])
    time.sleep(options.seconds * 0.1)
    fleet.start_node(awake[0])
    fleet.wait_caller("load", options.seconds + 40)


def cpu_seconds(fleet, name):
    fields = open("/proc/%d/stat" % fleet.processes[name].handle.pid).read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / 100.0
