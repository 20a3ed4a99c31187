"""A configuration allows heads of 256 KiB; one client then sends a header of 69,600 bytes. Nodes end by themselves."""

import asyncio
import copy
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from fleet_days import DOCUMENT, ROUTE, keep_up, kept_client, verdict  # noqa: E402
from stand_ins import TROUBLE, play  # noqa: E402

SECONDS = 20
CLIENTS = 24
HEAD_BYTES = 262_144  # `hdrBytes` of the second configuration
FIELD_BYTES = 69_600 if TROUBLE else 60_000  # both within it


async def long_prompts(fleet, until):
    """A client whose prompt has many small parts: its list of them is long. One request a second."""
    edges = list(fleet.edges)
    number = 0
    while fleet.record.now() < until:
        number += 1
        parts = ",".join("%08x:16" % place for place in range(FIELD_BYTES // 12))
        tokens = "%d,20" % (16 * (FIELD_BYTES // 12))
        sent = await fleet.ask(edges[number % len(edges)], ROUTE, "key-alpha", parts, tokens)
        sent.update({"on_connection": 1, "parts": parts[:40] + "...", "head_bytes": len(parts)})
        await asyncio.sleep(1.0)


async def story(fleet):
    await fleet.start(DOCUMENT)
    wider = copy.deepcopy(DOCUMENT)
    wider["ver"] = 2
    wider["caps"]["hdrBytes"] = HEAD_BYTES
    if not await fleet.put(wider):
        return ["the change was not acknowledged"]
    asyncio.get_running_loop().create_task(keep_up(fleet))
    await asyncio.sleep(6.0)  # applyMs is 2,000, contactMs 3,000
    until = fleet.record.now() + SECONDS
    edges = list(fleet.edges)
    clients = [kept_client(fleet, edges[place % len(edges)], until) for place in range(CLIENTS)]
    await asyncio.gather(long_prompts(fleet, until), *clients)
    long = [sent for sent in fleet.sent.values() if "head_bytes" in sent]
    print("requests with a long field: %d, answered 200: %d" % (len(long), sum(s["status"] == 200 for s in long)))
    return verdict(fleet)


play(story, replicas=6)
