"""A node that keeps hardly any rule: it passes requests to any replica as they came, keys and all.

It is there to show that the stand-ins find such a node out. Not product. Its argument names the fault:
twice: a fifth of the requests go out once more; resend: again after a lost connection; promise: 503 after
one; reuse: connections are kept and what comes next is taken for the answer; smuggle: the same, and the
rest of a body isn't sent once an answer waits; stale: it looks for a newer configuration only now and then;
forgets: changes are lost before the end; falls: it ends by itself; hangs_up: it ends on SIGHUP; lingers: it does
not end on SIGTERM; none: nothing more, though weights are
never rolled out and races are all won."""

import http.client
import http.server
import json
import os
import pathlib
import random
import select
import signal
import sys
import threading
import time
import tomllib

SETTINGS = tomllib.loads(pathlib.Path(os.environ["DOCKROCK_NODE_FILE"]).read_text())
SHARED = pathlib.Path(os.environ["DOCKROCK_NODE_FILE"]).parent / "careless.json"  # one file as the whole of agreement
FAULT = sys.argv[1] if len(sys.argv) > 1 else "twice"
KEPT, LOCK = {}, threading.Lock()  # idle connections by address
HELD_BACK = 100  # bytes of a long body
SEEN = {"at": 0.0, "text": ""}  # the configuration as last looked at
LOOKED_EVERY, FALLS_AFTER, KEPT_VERSIONS = 8.0, 6.0, 3
SINGLE = {"connection", "keep-alive", "transfer-encoding", "content-length"}


def addresses(service):
    connection = http.client.HTTPConnection(SETTINGS["cloud"]["addr"], timeout=2)
    connection.request("GET", "/replicas")
    entries = json.loads(connection.getresponse().read())["replicas"]
    return [entry["addr"] for entry in entries if entry["svc"] == service]


def known():
    """The configuration by which this process acts."""
    if FAULT != "stale" or not SEEN["text"] or time.monotonic() - SEEN["at"] > LOOKED_EVERY:
        SEEN.update(at=time.monotonic(), text=SHARED.read_text())
    return SEEN["text"]


def take(body):
    """One file for all; a forgetful fleet keeps its first versions only."""
    forgotten = FAULT == "forgets" and SHARED.exists() and json.loads(SHARED.read_text())["ver"] > KEPT_VERSIONS
    if not forgotten:
        fresh = SHARED.with_suffix(".%d-%d" % (os.getpid(), threading.get_ident()))
        fresh.write_bytes(body)
        os.replace(fresh, SHARED)


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *_):
        pass

    def reply(self, status, body=b"{}", headers=()):
        self.send_response(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def body(self):
        if "chunked" not in self.headers.get("Transfer-Encoding", ""):
            return self.rfile.read(int(self.headers.get("Content-Length", 0)))
        pieces = b""
        while size := int(self.rfile.readline(), 16):
            pieces += self.rfile.read(size)
            self.rfile.readline()
        self.rfile.readline()
        return pieces

    def answer(self):
        body = self.body()
        if self.path == "/-/ready":
            return self.reply(200 if SHARED.exists() else 503)
        if self.path == "/-/config":
            if self.command == "GET":
                return self.reply(200 if SHARED.exists() else 404, known().encode() if SHARED.exists() else b"{}")
            take(body)
            return self.reply(200)
        if self.path == "/-/version-put":
            return self.reply(200)
        configuration = json.loads(known())
        routes = configuration["routes"]
        found = [route for route in routes if self.path.startswith(route["pfx"])]
        if not found:
            return self.reply(404)
        tenants = [tenant["name"] for tenant in configuration["orgs"] if self.headers.get("Key") in tenant["apiKeys"]]
        self.headers["Tenant"] = (tenants or ["nobody"])[0]
        if FAULT == "twice" and random.random() < 0.2:
            self.pass_on(found[0], body)  # once more than asked
        try:
            answer, text = self.pass_on(found[0], body)
        except (OSError, http.client.HTTPException):
            if FAULT == "promise":
                return self.reply(503)
            if FAULT != "resend":
                raise
            answer, text = self.pass_on(found[0], body)
        kept = [(name, value) for name, value in answer.getheaders() if name.lower() not in SINGLE]
        return self.reply(answer.status, text, kept)

    def pass_on(self, route, body):
        address = random.choice(addresses(route["svc"]))
        keeps = FAULT in ("reuse", "smuggle")
        with LOCK:
            idle = KEPT.setdefault(address, [])
            connection = idle.pop() if keeps and idle else http.client.HTTPConnection(address, timeout=9)
        headers = {name: value for name, value in self.headers.items() if name.lower() not in SINGLE}
        connection.putrequest(self.command, self.path, skip_host=True, skip_accept_encoding=True)
        for name, value in {**headers, "Content-Length": str(len(body))}.items():
            connection.putheader(name, value)
        held = HELD_BACK if FAULT == "smuggle" and len(body) > 65536 else 0
        connection.endheaders(body[: len(body) - held] or None)
        if held and not select.select([connection.sock], [], [], 0.1)[0]:
            connection.send(body[-held:])
        answer = connection.getresponse()
        text = answer.read()
        if keeps and not answer.will_close:
            with LOCK:
                idle.append(connection)
        return answer, text

    do_GET = do_PUT = do_PATCH = do_POST = answer


signal.signal(signal.SIGHUP, signal.SIG_DFL if FAULT == "hangs_up" else signal.SIG_IGN)
servers = []
for address in SETTINGS["listen"].values():
    host, port = address.split(":")
    server = http.server.ThreadingHTTPServer((host, int(port)), Handler)
    server.daemon_threads = True
    servers.append(threading.Thread(target=server.serve_forever))
for thread in servers:
    thread.start()
if FAULT == "lingers":
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
if FAULT == "falls" and SETTINGS["role"] == "door":
    threading.Timer(FALLS_AFTER * (1 + random.random()), os._exit, (3,)).start()
