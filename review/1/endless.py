"""A model runner that, as a faulty one, sends bytes that are no answer until its caller closes.

Usage: endless.py IP:PORT ID BYTES_PER_S. The body has neither a length nor chunks.
"""

import socket
import sys
import threading
import time

BLOCK = b"\n" * 16384


def read_head(sock):
    """Return the head of the next request and read its body, None at the end."""
    data = b""
    while b"\r\n\r\n" not in data:
        part = sock.recv(65536)
        if not part:
            return None
        data += part
    head, _, body = data.partition(b"\r\n\r\n")
    headers = {}
    for line in head.decode("latin-1").split("\r\n")[1:]:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    left = int(headers.get("content-length", 0)) - len(body)
    while left > 0:
        left -= len(sock.recv(left))
    return headers


def serve(sock, id, rate):
    headers = read_head(sock)
    if headers is None:
        return
    request = headers.get("x-wasabilb-request-id", "")
    print(f"got {request} {time.monotonic()}", flush=True)
    sock.sendall(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        f"X-Wasabilb-Request-Id: {request}\r\nX-Wasabilb-Runner-Seal: {id}.1\r\n\r\n".encode()
    )
    began, sent = time.monotonic(), 0
    try:
        while True:
            sock.sendall(BLOCK)
            sent += len(BLOCK)
            ahead = sent / rate - (time.monotonic() - began)
            if ahead > 0:
                time.sleep(ahead)
    except OSError:
        print(f"closed {request} {time.monotonic()} after {sent} bytes", flush=True)


def main():
    address, id, rate = sys.argv[1], sys.argv[2], float(sys.argv[3])
    ip, _, port = address.rpartition(":")
    with socket.create_server((ip, int(port)), backlog=64) as server:
        while True:
            sock, _ = server.accept()
            threading.Thread(target=serve, args=(sock, id, rate), daemon=True).start()


main()
