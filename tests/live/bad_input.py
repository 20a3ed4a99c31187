"""Bad input to every path of a running node: each has its stated status, and none stops a node."""
import json
import random
import socket

from observe import patch_configuration
from fleet import call, wait_until


def raw(address, data, limit=14, close_early=False):
    """Sends bytes as they are; the status line's number, or 0."""
    host, port = address.split(":")
    with socket.create_connection((host, int(port)), timeout=limit) as connection:
        connection.sendall(data)
        if close_early:
            return 0
        try:
            first = connection.recv(65536).decode(errors="replace")
        except OSError:
            return 0
        return int(first.split(" ")[1]) if first.startswith("HTTP/1.1 ") else 0


def bad_input(fleet, options, facts):
    address = fleet.http[fleet.edges[0]]
    tenant = fleet.deployment["tenants"][0]
    kind = fleet.deployment["kinds"][0]
    good = {
        "model": kind["model"],
        "kind": kind["name"],
        "prompt": "x",
        "max_tokens": 16,
        "tenant": tenant["name"],
        "prefix": [],
    }
    key = {"Authorization": "Bearer " + tenant["key"]}
    wrong = facts.setdefault("wrong_reads", [])
    facts["reads"] = 0

    def expect(what, status, *wanted):
        facts["reads"] += 1
        if status not in wanted:
            wrong.append((what, status))

    def ticket(body, headers=key, path="/v1/generate", method="POST"):
        return call(address, method, path, body, headers, timeout=20)[0]

    expect("good", ticket(good), 200)
    expect("not JSON", ticket("{half"), 400)
    expect("deep JSON", ticket("[" * 5000), 400)
    expect("no key", ticket(good, {}), 401)
    expect("unknown key", ticket(good, {"Authorization": "Bearer nobody"}), 401)
    expect("unknown model", ticket(dict(good, model="nothing")), 404)
    expect("unknown field", ticket(dict(good, colour=1)), 400)
    expect("too many tokens", ticket(dict(good, max_tokens=10**9)), 413)
    expect("negative tokens", ticket(dict(good, max_tokens=-1)), 400)
    expect("huge number", ticket(json.dumps(good).replace("16", "1" * 400)), 400)
    expect("large body", ticket(dict(good, prompt="x" * 300_000)), 413)
    expect(
        "very large body",
        raw(address, b"POST /v1/generate HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999\r\n\r\n"),
        413,
    )
    expect("large header", raw(address, b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"x" * 40_000 + b"\r\n\r\n"), 431)
    expect("not HTTP", raw(address, b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03 nothing\r\n\r\n"), 400)
    expect("slow caller", raw(address, b"POST /v1/generate HTTP/1.1\r\nHost: a\r\nContent-Length: 50\r\n\r\nhalf"), 408)
    expect("no such path", ticket(good, path="/nothing"), 404)
    expect("wrong method", ticket(None, method="GET"), 405)
    expect("application", call(address, "GET", "/application/x", headers=dict(key, Tenant=tenant["name"]))[0], 200)
    expect("application without key", call(address, "GET", "/application/x")[0], 401)
    expect("control path", call(address, "GET", "/control/nothing")[0], 404)
    expect("control method", call(address, "DELETE", "/control/configuration")[0], 405)
    expect("put nothing", call(address, "PUT", "/control/configuration", "")[0], 400)
    expect("put large", call(address, "PUT", "/control/configuration", " " * ((1 << 20) + 1))[0], 413)
    expect("unknown change", call(address, "GET", "/control/changes/never-made")[0], 404)
    expect("weights of nothing", call(address, "PUT", "/control/services/nothing/weights", {"weights": "w"})[0], 404)
    expect(
        "weights without a name",
        call(address, "PUT", "/control/services/%s/weights" % kind["model"], {"weights": 7})[0],
        400,
    )
    expect("stale condition", fleet.put_configuration(fleet.edges[0], fleet.configuration(), if_match='"0.1"')[0], 412)
    edge = fleet.edges[0]
    rank = [{"op": "replace", "path": "/root/rank", "value": 99}]
    status, _, text = patch_configuration(fleet, edge, rank)
    expect("patch against the rules", status, 400)
    expect("its path is told", "/root/rank" in text, True)
    expect("patch of another kind", patch_configuration(fleet, edge, rank, kind="application/json")[0], 415)
    expect("patch that is no JSON", patch_configuration(fleet, edge, "[")[0], 400)
    expect("patch too large", patch_configuration(fleet, edge, " " * ((1 << 20) + 1))[0], 413)
    expect("stale patch", patch_configuration(fleet, edge, rank, {"If-Match": '"0.1"'})[0], 412)
    wrong = [{"op": "test", "path": "/root/rank", "value": 77}]
    expect("patch with a failing test", patch_configuration(fleet, edge, wrong)[0], 412)
    right = [{"op": "test", "path": "/root/name", "value": fleet.configuration()["root"]["name"]}]
    expect("patch", patch_configuration(fleet, edge, right, {"Change-Identity": "patched"})[0], 200)
    expect("its identity for another", patch_configuration(fleet, edge, wrong, {"Change-Identity": "patched"})[0], 422)
    expect("nothing was changed", fleet.get_configuration(edge)[2] == fleet.configuration(), True)
    # callers who vanish while waiting and while being answered: their runs are cancelled
    head = "POST /v1/generate HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n"
    long_ticket = json.dumps(dict(good, max_tokens=2000))
    before = fleet.metrics(fleet.edges[0])["callers_gone_total"]
    for _ in range(3):
        host, port = address.split(":")
        connection = socket.create_connection((host, int(port)))
        connection.sendall((head % (tenant["key"], len(long_ticket)) + long_ticket).encode())
        connection.recv(100)
        connection.close()
    wait_until(lambda: fleet.metrics(fleet.edges[0])["callers_gone_total"] >= before + 3, 10, "callers seen gone")
    # garbage on the control sockets and on HTTP, then all still serve
    chance = random.Random(options.seed)
    for name in fleet.names:
        for target in (fleet.control[name], fleet.http[name]):
            try:
                raw(target, bytes(chance.randrange(256) for _ in range(chance.randrange(1, 3000))), 1, close_early=True)
            except OSError:
                pass
    for name in fleet.names:
        expect(name + " serves after garbage", call(fleet.http[name], "GET", "/health")[0], 200)
    fleet.start_caller("after", options.rate, 3, options.seed)
    fleet.wait_caller("after", 40)
