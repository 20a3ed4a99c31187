"""What the cases about ends of processes share: clients that keep their connections, the platform's restarts, and
the verdict on LOST and on ends of processes."""

import asyncio
import random

from stand_ins import FRONT, read_body, read_head, runs

ROUTE = {
    "name": "r-ask", "host": "desk.example", "pfx": "/ask/", "type": "stream", "timeoutMs": 8000, "targetMs": 600,
    "prio": 1, "svc": "llm", "tries": 2, "public": False, "sticky": True, "resume": False, "gapTargetMs": 400,
}
DOCUMENT = {
    "ver": 1,
    "routes": [ROUTE],
    "svcs": [
        {
            "name": "llm", "healthPath": "/health", "maxConns": 200, "proto": "h1", "tls": False,
            "backend": {
                "slots": 16, "kvToks": 300000, "kvTokBytes": 18432, "netMbps": 370000.0, "chunk": 5,
                "maxInflight": 12, "models": [{"name": "m0"}],
            },
        }
    ],
    "caps": {"hdrBytes": 16384, "bodyBytes": 4194304, "hdrMs": 3000, "idleMs": 15000},
    "orgs": [{"name": "alpha", "apiKeys": ["key-alpha"], "prio": 1, "isolated": False}],
}


def head_of(identity, body_line):
    headers = {
        "Host": ROUTE["host"], "Request-Id": identity, "Model": "m0", "Tokens": "4320,40", "Key": "key-alpha",
        "Prefix-Hash": "%03x:600,%s:3720" % (random.randrange(200), identity[:8]), "Deadline-Ms": 8000,
    }
    text = "POST /ask/q HTTP/1.1\r\n" + "".join("%s: %s\r\n" % item for item in headers.items())
    return (text + body_line + "\r\n\r\n").encode()


async def kept_client(fleet, edge, until, request=None, pause=0.0):
    """Keeps its connection for many requests; opens another one where it was closed. `request(writer, identity)`
    writes one request, by default one without a body."""
    reader = writer = None
    on_this = 0
    while fleet.record.now() < until:
        if writer is None:
            try:
                reader, writer = await asyncio.open_connection(fleet.edges[edge], FRONT)
                on_this = 0
            except OSError:
                await asyncio.sleep(0.3)
                continue
        identity = "%016x" % random.getrandbits(64)
        on_this += 1
        sent = fleet.record.add("sent", id=identity, edge=edge, route=ROUTE["name"], on_connection=on_this)
        fleet.sent[identity] = sent
        first, seen = None, {}
        sent.update({"status": 0, "whole": False, "bytes": 0})
        try:
            if request is None:
                writer.write(head_of(identity, "Content-Length: 0"))
            else:
                await request(writer, identity)
            first, seen = await asyncio.wait_for(read_head(reader), 9)
            if first is not None:
                data, whole = await read_body(reader, seen)
                sent.update({"status": int(first.split()[1]), "whole": whole, "bytes": len(data)})
        except (OSError, TimeoutError):
            pass
        sent["answered"] = fleet.record.now()
        if not sent["whole"] or seen.get("connection", "").lower() == "close":
            writer.transport.abort()
            writer = None
        await asyncio.sleep(pause)


async def keep_up(fleet):
    """The platform starts a process that ended by itself again after a short delay."""
    while True:
        for name in fleet.died():
            fleet.record.add("ended-by-itself", node=name, code=fleet.processes[name].returncode)
            await asyncio.sleep(0.5)
            fleet.start_node(name)
        await asyncio.sleep(0.05)


def verdict(fleet):
    """LOST as RULES.md has it for any time: of a kept connection, passed on to a sound replica, and closed without an
    answer, more than three times at one machine. Fault: ends by themselves, three or more, on two nodes or more."""
    begun = {run["id"]: run for run in runs(fleet.record)}
    sent = list(fleet.sent.values())
    lost = [
        one for one in sent
        if one["on_connection"] > 1 and one["status"] == 0 and one["id"] in begun and not begun[one["id"]].get("spoiled")
    ]
    ends = [line for line in fleet.record.lines if line["what"] == "ended-by-itself"]
    print("requests %d, served whole %d" % (len(sent), sum(one["status"] == 200 and one["whole"] for one in sent)))
    print("processes that ended by themselves: %d (codes %s)" % (len(ends), sorted({end["code"] for end in ends})))
    print("of kept connections, passed on to a sound replica and closed without an answer: %d" % len(lost))
    print("streams cut midway: %d" % sum(one["status"] == 200 and not one["whole"] for one in sent))
    broken = []
    for edge in fleet.edges:
        count = sum(one["edge"] == edge for one in lost)
        if count > 3:
            broken.append("LOST: %s closed %d requests that a sound replica ran, without an answer" % (edge, count))
    nodes = {end["node"] for end in ends}
    if len(ends) >= 3 and len(nodes) >= 2:
        broken.append("Fault: %d ends of processes by themselves, on %d nodes" % (len(ends), len(nodes)))
    return broken
