"""A stand-in engine for measurements: each answer keeps its own even pace, so that what is seen is what the
front adds.

The stand-ins' model moves in steps that all answers share; a first token then waits up to a step, which hides
milliseconds.
"""

import sys

import gevent
from gevent import socket
from gevent.server import StreamServer

from martenrouter.wire import http

READ_S, FIRST_S, GAP_S, TOKENS = 0.005, 0.005, 0.060, 19  # 130 reqs a second keep 150 streams open

STATE = (
    b'{"kv_transfer_params":{"do_remote_prefill":true,"remote_request_id":"x"},'
    b'"usage":{"prompt_tokens":120,"prompt_tokens_details":{"cached_tokens":0}}}'
)
PIECE = http.chunk(
    b'data: {"object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":" token"}}]}\n\n'
)
LAST = (
    http.chunk(b'data: {"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}\n\n')
    + http.chunk(b"data: [DONE]\n\n")
    + http.chunk(b"")
)
HEAD = http.response(
    200,
    (
        ("content-type", "text/event-stream"),
        ("endpoint-load-metrics", 'JSON {"named_metrics":{"kv_cache_usage":0.1}}'),
    ),
    chunked=True,
)


def serve(sock, _):
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    reader, body = http.RequestReader(), []
    try:
        while data := sock.recv(65536):
            for event in reader.feed(data):
                if event[0] == "head":
                    body = []
                elif event[0] == "body":
                    body.append(event[1])
                elif b'"do_remote_decode":true' in b"".join(body):
                    gevent.sleep(READ_S)
                    sock.sendall(http.response(200, (), STATE))
                else:
                    gevent.sleep(FIRST_S)
                    sock.sendall(HEAD + PIECE)
                    for _ in range(TOKENS - 1):
                        gevent.sleep(GAP_S)
                        sock.sendall(PIECE)
                    sock.sendall(LAST)
    except OSError:
        pass


if __name__ == "__main__":
    StreamServer(("127.0.0.1", int(sys.argv[1])), serve, backlog=4096).serve_forever()
