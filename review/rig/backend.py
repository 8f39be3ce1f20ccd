"""A sound backend: reads each whole request, works on up to SLOTS at a time, answers.

Arguments: id, slots, work in seconds. It prints "port N", then one line for each request
that arrives, runs or is turned away.
"""
import socket
import sys
import threading
import time

IDENT, SLOTS, WORK_S = sys.argv[1], int(sys.argv[2]), float(sys.argv[3])
lock = threading.Lock()
running = 0


def report(text):
    with lock:
        sys.stdout.write(text + "\n")
        sys.stdout.flush()


def answer(connection, fields):
    """Runs one request, or turns it away, and answers it."""
    global running
    ident = fields.get("x-attempt-id", "-")
    if fields.get("x-expect-instance") != IDENT:
        connection.sendall(b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
        return
    with lock:
        is_full = running >= SLOTS
        running += not is_full
        load = "%d,0,%d" % (running, SLOTS)
    if is_full:
        report("turns away id=%s" % ident)
        connection.sendall(
            (
                "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\n"
                "X-Server-Load: %s\r\nContent-Length: 0\r\n\r\n" % (ident, load)
            ).encode()
        )
        return
    report("runs id=%s" % ident)
    time.sleep(WORK_S)
    with lock:
        running -= 1
        load = "%d,0,%d" % (running, SLOTS)
    connection.sendall(
        (
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Stamp: st.%s\r\n"
            "X-Server-Load: %s\r\nContent-Length: 2\r\n\r\nok" % (ident, ident, load)
        ).encode()
    )


def serve(connection):
    """Serves the requests of one connection, one after the other."""
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    data = b""
    try:
        while True:
            while b"\r\n\r\n" not in data:
                more = connection.recv(65536)
                if not more:
                    return
                data += more
            head, data = data.split(b"\r\n\r\n", 1)
            fields = {}
            for line in head.decode("latin-1").split("\r\n")[1:]:
                name, _, value = line.partition(":")
                fields[name.lower()] = value.strip()
            report("arrives id=%s" % fields.get("x-attempt-id", "-"))
            left = int(fields.get("content-length", "0")) - len(data)
            while left > 0:
                more = connection.recv(min(left, 1 << 20))
                if not more:
                    return
                left -= len(more)
            data = b""
            answer(connection, fields)
    except OSError:
        return
    finally:
        connection.close()


def main():
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(128)
    print("port", listener.getsockname()[1], flush=True)
    while True:
        connection, _ = listener.accept()
        threading.Thread(target=serve, args=(connection,), daemon=True).start()


main()
