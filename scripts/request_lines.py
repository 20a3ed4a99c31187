"""Parses the lines that nodes log for each relayed request (event `request`, level debug)."""

import json


class DamagedLine(Exception):
    """Raised for a request line that is truncated or invalid."""


def read_requests(lines):
    """The requests in these log lines, and the number of request lines that were truncated or invalid."""
    requests, damaged = [], 0
    for line in lines:
        if '"event":"request"' not in line:
            continue
        try:
            requests.append(read_request(line))
        except DamagedLine:
            damaged += 1
    return requests, damaged


def read_request(line):
    start, end = line.find("{"), line.rfind("}")
    try:
        told = json.loads(line[start : end + 1])
        return {
            "target": told["target_microseconds"],
            "pause_limit": told["pause_limit_microseconds"],
            "arrived": told["time_microseconds"] - told["ended_microseconds"],
            "waited": told["waited_microseconds"],
            "sent": told["sent_microseconds"],
            "first": told["first_output_microseconds"],
            "pause": told["longest_pause_microseconds"],
            "tries": told["tries"],
            "failure": told["failure"],
            "outcome": told["outcome"],
            "to_read": told["tokens_to_read"],
            "kept": told["kept_tokens"],
            "best_kept": told["best_kept_tokens"],
            "moved": told["moved_tokens"],
            "outstanding": told["outstanding_tokens"],
            "held_by": told["held_by"],
            "replica": told["replica"],
            "service": told["service"],
            "size": told["prompt_tokens"] + 10 * told["output_tokens"] if told["prompt_tokens"] > 0 else 0,
        }
    except (ValueError, KeyError, TypeError) as problem:
        raise DamagedLine(str(problem)) from problem
