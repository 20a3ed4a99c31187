"""Replicas in trouble spoil a few of their answers: the length in the head is nonsense. Nodes end by themselves."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from fleet_days import DOCUMENT, keep_up, kept_client, verdict  # noqa: E402
from stand_ins import TROUBLE, play  # noqa: E402

SPOILED_SHARE = 0.02  # of the answers of half of the replicas: `garble: share (.5) break off or spoil x (.02)`
SECONDS = 20
CLIENTS = 24


def spoil(fleet, replica):
    """What the replica sends in place of some answers: a head with a length that can't be, and an end."""
    whole = replica.stream

    async def stream(run, identity, headers, out, common, writer):
        if not TROUBLE or random.random() >= SPOILED_SHARE:
            return await whole(run, identity, headers, out, common, writer)
        run["spoiled"] = True
        fleet.record.add("spoiled", id=identity, replica=replica.id)
        head = {**common, "Seal": "x", "Content-Type": "text/event-stream", "Content-Length": 10**17}
        writer.write(("HTTP/1.1 200 OK\r\n" + "".join("%s: %s\r\n" % item for item in head.items()) + "\r\n").encode())
        writer.write(b"id: 1\n")
        await writer.drain()
        return False  # and the connection is closed

    replica.stream = stream


async def story(fleet):
    await fleet.start(DOCUMENT)
    for replica in fleet.replicas[::2]:
        spoil(fleet, replica)
    asyncio.get_running_loop().create_task(keep_up(fleet))
    await asyncio.sleep(3.5)  # contactMs is 3,000
    until = fleet.record.now() + SECONDS
    edges = list(fleet.edges)
    await asyncio.gather(*(kept_client(fleet, edges[place % len(edges)], until) for place in range(CLIENTS)))
    print("answers spoiled: %d" % sum(line["what"] == "spoiled" for line in fleet.record.lines))
    return verdict(fleet)


play(story, replicas=6)
