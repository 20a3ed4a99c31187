"""What is configured and asked for on a day: routes, services, tenants, kinds of request."""

import copy

HOST = "ask.example"
TENANTS = [
    {"name": "ann", "apiKeys": ["key-ann-1", "key-ann-2"], "prio": 1, "isolated": True},
    {"name": "ben", "apiKeys": ["key-ben-1"], "prio": 1, "isolated": True},
    {"name": "cat", "apiKeys": ["key-cat-1"], "prio": 2, "isolated": False},
    {"name": "dan", "apiKeys": ["key-dan-1"], "prio": 2, "isolated": False},
]
KEYS = [key for tenant in TENANTS for key in tenant["apiKeys"]]


def route(name, prefix, kind, service, **more):
    base = {
        "name": name, "host": HOST, "pfx": prefix, "type": kind, "timeoutMs": 8000, "targetMs": 400, "prio": 1,
        "tries": 2, "public": False, "sticky": kind == "stream", "resume": False, "gapTargetMs": 250, "svc": service,
    }  # fmt: skip
    return {**base, **more}


def configuration(day, version):
    back = {
        "slots": 16, "kvToks": 300000, "kvTokBytes": 18432, "netMbps": 360000.0, "chunk": 5, "maxInflight": 12,
        "models": [{"name": "m0"}],
    }  # fmt: skip
    service = {"healthPath": "/health", "maxConns": 200, "proto": "h1", "tls": False}
    return {
        "ver": version,
        "routes": [
            route("long", "/long/", "stream", "llm", resume=True),
            route("short", "/short/", "stream", "llm", tries=1),
            route("read", "/read/", "idem", "plain"),
            route("write", "/write/", "mutating", "plain"),
        ],
        "svcs": [
            {"name": "llm", **service, "backend": back},
            {"name": "plain", **service},
            {"name": "store", "kvAddr": day.store, "zone": "north", "kvToks": 900000, "netMbps": 140000.0,
             "maxInflight": 12},
        ],
        "caps": {"hdrBytes": 16384, "bodyBytes": 4194304, "hdrMs": 3000, "idleMs": 15000},
        "orgs": copy.deepcopy(TENANTS),
    }  # fmt: skip


def kinds():
    stream = {"type": "stream", "model": "m0", "host": HOST, "prompt": 900, "out": 60, "parts": 12}
    return [
        {**stream, "path": "/long/a", "resume": True, "weight": 3},
        {**stream, "path": "/short/a", "out": 30, "weight": 2},
        {"type": "idem", "host": HOST, "method": "GET", "path": "/read/x?y=1"},
        {"type": "mutating", "host": HOST, "path": "/write/x"},
    ]
