"""Attributes the lost worth of requests: one cause for each request that was late or failed, with sums.

Reads the lines that nodes log for each relayed request at level debug (event `request`), from files or from standard
input; text around a line's JSON is ignored. Each request that was not served in time is assigned exactly one cause, by
what took most of the time to its first output; the causes add up to the total worth lost by these requests.

Worths are given per latency target: `--worth 1000=2,0.6` means that a request with a target of 1,000 ms is worth 2 if
served in time and 0.6 if late. A generation is weighted by its size: 0.3 + 0.7 times its tokens (in + 10 x out) over
the mean of its kind, at most 4.
Usage: request_causes.py [FILE ...] --worth MS=IN_TIME,LATE ... [--seconds N]
"""

import argparse
import collections
import sys

from request_lines import read_requests

ONE_SECOND = 1_000_000
SIZE_LIMIT = 4.0


def in_time(request):
    paused = 0 < request["pause_limit"] < request["pause"]
    return request["outcome"] == "finished" and not request["failure"] and 0 <= request["first"] <= request[
        "target"
    ] and not paused


def answered(request):
    return request["outcome"] == "finished" and not request["failure"] and request["first"] >= 0


def reading_speeds(requests):
    """By service: (base microseconds, microseconds per token read), from requests with no known work ahead of them."""
    samples = collections.defaultdict(list)
    for request in requests:
        if answered(request) and request["tries"] == 1 and request["outstanding"] == 0 and request["size"] > 0:
            samples[request["service"]].append((request["to_read"], request["first"] - request["sent"]))
    return {service: line_through(points) for service, points in samples.items()}


def line_through(points):
    """Fits a line to the fast requests: least squares over the faster half of each tenth of the points by tokens."""
    points = sorted(points)
    chosen = []
    step = max(1, len(points) // 10)
    for start in range(0, len(points), step):
        part = sorted(points[start : start + step], key=lambda point: point[1])
        chosen += part[: max(1, len(part) // 2)]
    count = len(chosen)
    mean_x = sum(x for x, _ in chosen) / count
    mean_y = sum(y for _, y in chosen) / count
    spread = sum((x - mean_x) ** 2 for x, _ in chosen)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in chosen) / spread if spread > 0 else 0.0
    return max(0.0, mean_y - slope * mean_x), max(0.0, slope)


def cause_of(request, speeds):
    """The cause of a request that was not served in time."""
    outcome = request["outcome"]
    if outcome == "caller-gone":
        return "client left: " + slowest_part(request, speeds)
    if outcome.startswith("answer-shed"):
        held = request["held_by"] or "none"
        return "refused by the node: %s, held by %s" % (outcome.partition(": ")[2], held)
    if outcome.startswith("answer-refused"):
        return "refused by the rules"
    if not answered(request):
        return "failed at the replica: " + (request["failure"] or outcome)
    if 0 < request["pause_limit"] < request["pause"] and request["first"] <= request["target"]:
        return "late: pause between outputs"
    if request["tries"] > 1:
        return "late: an earlier try failed"
    return "late: " + slowest_part(request, speeds)


def slowest_part(request, speeds):
    """The part that took most of the time to the first output; without output, of four times the target."""
    base, each = speeds.get(request["service"], (0.0, 0.0))
    if request["tries"] == 0:
        return "waited at the node for " + (request["held_by"] or "a place")
    at_replica = (request["first"] if request["first"] >= 0 else request["target"] * 4) - request["sent"]
    reading = each * request["to_read"]
    avoidable = each * max(0, request["best_kept"] - request["kept"] - request["moved"])
    parts = {
        "waited at the node for " + (request["held_by"] or "a place"): request["sent"],
        "own prompt read": reading - avoidable,
        "prompt read though kept elsewhere": avoidable,
        "waited at the replica, work was known": min(at_replica - reading - base, each * request["outstanding"]),
        "waited at the replica, work was not known": at_replica - reading - base - each * request["outstanding"],
    }
    return max(parts, key=parts.get)


def worth_of(request, worths, mean_sizes):
    in_full, late = worths.get(request["target"] // 1000, (0.0, 0.0))
    mean = mean_sizes.get(request["target"], 0)
    size = min(SIZE_LIMIT, 0.3 + 0.7 * request["size"] / mean) if mean > 0 else 1.0
    return in_full * size, late * size


def mean_sizes_of(requests):
    sizes = collections.defaultdict(list)
    for request in requests:
        sizes[request["target"]].append(request["size"])
    return {target: sum(found) / len(found) for target, found in sizes.items()}


def table_of(requests, worths):
    """Rows (cause, requests, worth lost, requests by target), most worth first; total worth owed and lost; speeds."""
    speeds = reading_speeds(requests)
    mean_sizes = mean_sizes_of(requests)
    lost = collections.defaultdict(lambda: [0, 0.0, collections.Counter()])
    owed = 0.0
    for request in requests:
        in_full, late = worth_of(request, worths, mean_sizes)
        owed += in_full
        if in_time(request):
            continue
        row = lost[cause_of(request, speeds)]
        row[0] += 1
        row[1] += in_full - (late if answered(request) else 0.0)
        row[2][request["target"] // 1000] += 1
    rows = sorted(((cause, *row) for cause, row in lost.items()), key=lambda row: -row[2])
    return rows, owed, sum(row[2] for row in rows), speeds


def lost_by_second(requests, worths, seconds):
    """Worth lost by the requests that arrived in each interval of `seconds`, starting at the first arrival."""
    mean_sizes = mean_sizes_of(requests)
    start = min((request["arrived"] for request in requests), default=0)
    lost = collections.Counter()
    for request in requests:
        if in_time(request):
            continue
        in_full, late = worth_of(request, worths, mean_sizes)
        place = (request["arrived"] - start) // (seconds * ONE_SECOND)
        lost[place] += in_full - (late if answered(request) else 0.0)
    return [lost[place] for place in range(max(lost, default=-1) + 1)]


def busiest_over_mean(requests):
    """By service: replicas used, and the busiest replica's requests and tokens read, as multiples of the mean."""
    tokens = collections.defaultdict(collections.Counter)
    counts = collections.defaultdict(collections.Counter)
    for request in requests:
        if request["tries"] > 0:
            tokens[request["service"]][request["replica"]] += request["to_read"]
            counts[request["service"]][request["replica"]] += 1
    found = {}
    for service, by_replica in counts.items():
        mean_count = sum(by_replica.values()) / len(by_replica)
        read = tokens[service]
        mean_read = max(1.0, sum(read.values()) / len(by_replica))
        found[service] = (len(by_replica), max(by_replica.values()) / mean_count, max(read.values()) / mean_read)
    return found


def read_worth(text):
    try:
        target, values = text.split("=")
        in_full, late = (float(value) for value in values.split(","))
        return int(target), (in_full, late)
    except ValueError as problem:
        raise argparse.ArgumentTypeError("must be MS=IN_TIME,LATE, as 1000=2,0.6: %s" % text) from problem


def write_table(requests, damaged, worths, seconds, out):
    rows, owed, lost, speeds = table_of(requests, worths)
    late = sum(1 for request in requests if not in_time(request) and answered(request))
    failed = sum(1 for request in requests if not answered(request))
    out.write("%d requests, %d late, %d not answered; worth owed %.0f, lost %.0f (%.3f)\n" % (
        len(requests), late, failed, owed, lost, lost / owed if owed else 0.0))
    if damaged:
        out.write("%d lines were cut or damaged and are left out\n" % damaged)
    for cause, count, worth, kinds in rows:
        told = ", ".join("%d ms: %d" % item for item in sorted(kinds.items()))
        out.write("%8.1f  %.4f  %5d  %s  (%s)\n" % (worth, worth / owed if owed else 0.0, count, cause, told))
    for service, (base, each) in sorted(speeds.items()):
        out.write("%s: first output after %.0f ms, a token read in %.4f ms\n" % (service, base / 1000, each / 1000))
    for service, (replicas, by_count, by_tokens) in sorted(busiest_over_mean(requests).items()):
        out.write("%s: %d replicas used, the busiest has %.1f times the mean in requests, %.1f in tokens read\n" % (
            service, replicas, by_count, by_tokens))
    out.write("worth lost by arrivals of each %d s: %s\n" % (
        seconds, " ".join("%.0f" % value for value in lost_by_second(requests, worths, seconds))))


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("files", nargs="*", metavar="FILE")
    parser.add_argument("--worth", action="append", type=read_worth, default=[], metavar="MS=IN_TIME,LATE")
    parser.add_argument("--seconds", type=int, default=2)
    chosen = parser.parse_args()
    lines = []
    for name in chosen.files:
        try:
            with open(name, errors="replace") as file:
                lines += file.readlines()
        except OSError as problem:
            sys.exit("request_causes: %s: %s" % (name, problem.strerror))
    requests, damaged = read_requests(lines if chosen.files else sys.stdin)
    if not requests:
        sys.exit("request_causes: no request lines found; are the nodes' logs at level debug?")
    write_table(requests, damaged, dict(chosen.worth), max(1, chosen.seconds), sys.stdout)


if __name__ == "__main__":
    main()
