"""Processes, calls and waits; what a fleet on loopback is made of."""

import hashlib
import http.client
import json
import os
import resource
import signal
import subprocess
import time


def with_key_hashes(branch):
    """A deployment file gives test keys in the clear; the configuration holds their hashes."""
    if isinstance(branch, list):
        return [with_key_hashes(item) for item in branch]
    if not isinstance(branch, dict):
        return branch
    result = {name: with_key_hashes(value) for name, value in branch.items() if name != "key"}
    if "key" in branch:
        digest = hashlib.sha256(branch["key"].encode()).hexdigest()
        result["keys"] = [{"identity": branch["key"].removeprefix("key-"), "sha256": digest}]
    return result


def call(address, method, path, body=None, headers=None, timeout=6):
    """One HTTP call: (status, headers, text); status 0 where there was no answer."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        data = json.dumps(body) if isinstance(body, (dict, list)) else body
        connection.request(method, path, body=data, headers=headers or {})
        answer = connection.getresponse()
        return answer.status, dict(answer.getheaders()), answer.read().decode(errors="replace")
    except (OSError, http.client.HTTPException):
        return 0, {}, ""
    finally:
        connection.close()


def wait_until(condition, limit, what):
    """Waits on a condition, never on a fixed time."""
    end = time.monotonic() + limit
    while time.monotonic() < end:
        result = condition()
        if result:
            return result
        time.sleep(0.02)
    raise TimeoutError(what)


class Process:
    def __init__(self, name, arguments, folder, environment=None, limits=()):
        """`limits`: of the kernel, (resource, value) each."""
        self.name, self.arguments, self.folder, self.environment = name, arguments, folder, environment
        self.limits = limits
        self.handle = None
        self.told = False  # whether it was told to end

    def start(self):
        self.told = False
        with open(self.folder / (self.name + ".out"), "ab") as output:
            self.handle = subprocess.Popen(
                self.arguments, stdout=output, stderr=output, cwd=self.folder, env=self.environment,
                preexec_fn=self.set_limits if self.limits else None,
            )  # fmt: skip
        return self

    def set_limits(self):
        for which, value in self.limits:
            resource.setrlimit(which, (value, value))

    def running(self):
        return self.handle is not None and self.handle.poll() is None

    def send(self, number):
        if self.running():
            self.handle.send_signal(number)  # which bears that it has ended meanwhile

    def end(self, number=signal.SIGKILL, limit=30):
        if self.handle is None:
            return None
        self.told = True
        self.send(number)
        try:
            return self.handle.wait(limit)
        except subprocess.TimeoutExpired:
            self.handle.kill()
            self.handle.wait()
            return None
