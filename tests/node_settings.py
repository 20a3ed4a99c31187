"""Settings files of the platform's program, for tests of single nodes on loopback."""

import pathlib

TEMPLATE = """
nodeName = "{name}"
zone = "north"
ip = "{address}"
bootstrap = true
portRange = [{first}, {last}]
seeds = ["127.9.8.250:{first}"]
unknownTable = {{ anything = 1 }}
[listen]
front = "{address}:{front}"
ready = "{address}:{ready}"
[bounds]
graceS = {grace}
[cloud]
addr = "127.9.8.251:80"
perS = 10.0
"""
PORTS = {"first": 23960, "last": 23965, "front": 23970, "ready": 23971}
GRACE_S = 8


def edge_settings(name, address):
    return TEMPLATE.format(name=name, address=address, grace=GRACE_S, **PORTS)


def core_settings(name, address, folder):
    return "dataDir = %r\n" % str(folder) + edge_settings(name, address)


def platform_program(build):
    return str(pathlib.Path(build) / "dockrock-platform-node")
