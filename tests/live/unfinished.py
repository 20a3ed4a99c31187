"""Clients whose requests do not go on."""

import socket

HEAD = b"POST /a HTTP/1.1\r\nHost: h\r\nRequest-Id: 1\r\n"
LENGTH = b"Content-Length: 100000\r\n\r\n"
SMALL_FIELDS = HEAD + 1_900 * b"a:b\r\n" + LENGTH + b"bb"
HALF_A_BODY = HEAD + LENGTH + 60_000 * b"b"
START_OF_A_BODY = HEAD + LENGTH + 6_000 * b"b"
CONNECT_LIMIT_S = 5


def begin(address, port, request, limit=CONNECT_LIMIT_S):
    """A client that has sent as much of it as was taken at once."""
    client = socket.create_connection((address, port), timeout=limit)
    client.setblocking(False)
    client.send(request)
    return client


def end_of(client):
    """What a client that waits for its answer has seen: open, closed, a status, or an error's text."""
    try:
        answer = client.recv(1024)
    except BlockingIOError:
        return "open"
    except OSError as failure:
        return failure.strerror
    return answer[9:12].decode() if answer else "closed"
