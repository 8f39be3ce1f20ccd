"""A backend that answers a long request before it has read all of it, without a length.

Arguments: id, bytes of an answer. It prints "port N", then a line once it has sent the first
half of an answer. After a line on standard input it reads the rest of the request, sends the
other half and closes.
"""
import socket
import sys
import threading

IDENT, ANSWER_BYTES = sys.argv[1], int(sys.argv[2])
# Segments as on a network with an MTU of 1500 bytes; loopback has segments of 64 kB.
SEGMENT_BYTES = 1448
# A small window, as the pages describe the links.
RECEIVE_BYTES = 16384


def serve(connection):
    """Serves the only request of a connection. One that is opened in advance has none."""
    data = b""
    while b"\r\n\r\n" not in data:
        more = connection.recv(2048)
        if not more:
            return
        data += more
    head, rest = data.split(b"\r\n\r\n", 1)
    fields = {}
    for line in head.decode("latin-1").split("\r\n")[1:]:
        name, _, value = line.partition(":")
        fields[name.lower()] = value.strip()
    if fields.get("x-expect-instance") != IDENT:
        connection.sendall(b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
        return
    ident = fields["x-attempt-id"]
    answer = (b"0123456789abcdef" * (ANSWER_BYTES // 16 + 1))[:ANSWER_BYTES]
    half = ANSWER_BYTES // 2
    connection.sendall(
        (
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Stamp: st.%s.%d\r\n"
            "Connection: close\r\n\r\n" % (ident, ident, ANSWER_BYTES)
        ).encode()
        + answer[:half]
    )
    print("runs id=%s, has sent %d of %d bytes" % (ident, half, ANSWER_BYTES), flush=True)
    sys.stdin.readline()
    left = int(fields.get("content-length", "0")) - len(rest)
    while left > 0:
        more = connection.recv(65536)
        if not more:
            return
        left -= len(more)
    connection.sendall(answer[half:])
    connection.shutdown(socket.SHUT_WR)
    print("has read all and sent all, closes", flush=True)
    while connection.recv(65536):
        pass
    connection.close()


def main():
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
    listener.bind(("127.0.0.1", 0))
    listener.listen(16)
    print("port", listener.getsockname()[1], flush=True)
    while True:
        connection, _ = listener.accept()
        threading.Thread(target=serve, args=(connection,), daemon=True).start()


main()
