"""A tenant becomes isolated by a new configuration; memory that its requests made before is still used by others."""

import asyncio
import copy
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from stand_ins import TROUBLE, play, runs  # noqa: E402

ROUTE = {
    "name": "r-ask", "host": "desk.example", "pfx": "/ask/", "type": "stream", "timeoutMs": 8000, "targetMs": 600,
    "prio": 1, "svc": "llm", "tries": 2, "public": False, "sticky": True, "resume": True, "gapTargetMs": 400,
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
    "orgs": [
        {"name": "alpha", "apiKeys": ["key-alpha"], "prio": 1, "isolated": False},
        {"name": "beta", "apiKeys": ["key-beta"], "prio": 1, "isolated": False},
    ],
}
SUBJECTS = ["51%02x" % number for number in range(12)]


async def ask_all(fleet, key, tag):
    """One request a subject: the subject is a shared part, the last part is the request's own."""
    edges = list(fleet.edges)
    asked = [
        fleet.ask(edges[place % len(edges)], ROUTE, key, "5ea:900,%s:600,%s%s:50" % (subject, tag, subject), "1550,40")
        for place, subject in enumerate(SUBJECTS)
    ]
    return await asyncio.gather(*asked)


async def story(fleet):
    await fleet.start(DOCUMENT)
    await ask_all(fleet, "key-alpha", "a")
    await asyncio.sleep(1.0)
    changed = copy.deepcopy(DOCUMENT)
    changed["ver"] = 3
    changed["routes"][0]["timeoutMs"] = 7000  # with and without the trouble the configuration changes
    changed["orgs"][0]["isolated"] = TROUBLE
    if not await fleet.put(changed):
        return ["the change was not acknowledged"]
    acknowledged = fleet.record.now()
    await asyncio.sleep(6.0)  # applyMs is 2,000 and contactMs 3,000: every node is in touch and knows the change
    answers = await ask_all(fleet, "key-beta", "b")
    served = sum(answer["status"] == 200 and answer["whole"] for answer in answers)
    print("requests of beta served: %d of %d" % (served, len(answers)))
    isolated = {tenant["name"] for tenant in changed["orgs"] if tenant["isolated"]}
    broken = []
    for run in runs(fleet.record):
        foreign = {part["tenant"] for part in run["used"]} - {run["tenant"]}
        if run["at"] > acknowledged and (foreign & isolated or (foreign and run["tenant"] in isolated)):
            broken.append(
                "WALL: request %s of '%s', begun %.1f s after the acknowledgement, used memory made by %s (salt '%s')"
                % (run["id"], run["tenant"], run["at"] - acknowledged, sorted(foreign), run["salt"])
            )
    return broken


play(story)
