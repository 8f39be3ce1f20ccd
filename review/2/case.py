"""An answer without a length that is reset on its way must not reach the client as whole.

The backend answers a long upload before it has read all of it, without a length, and is
killed in the middle of that answer. Its kernel resets the connection, because a part of
the upload is unread.
"""
import os
import signal
import socket
import subprocess
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "rig"))
import rig  # noqa: E402

UPLOAD_BYTES = 250000
ANSWER_BYTES = 6000
ROUNDS = 4


class Backend:
    def __init__(self, ident):
        self.ident = ident
        self.process = subprocess.Popen(
            [sys.executable, os.path.join(FOLDER, "backend.py"), ident, str(ANSWER_BYTES)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.port = int(self.process.stdout.readline().split()[1])

    def kill(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


def body(record, temporary, with_trouble, children):
    store = rig.Store()
    store.put(
        "op/config",
        rig.configuration(7, [rig.route("edits", "/edits/", "unsafe", "studio")], ["studio"]),
    )
    ip = rig.loopback_ip(1)
    host = rig.Host(temporary, store, ip, [ip + ":8181"])
    children.append(host)
    if not host.wait_ready():
        record("the host did not get ready")
        return 2
    broken = 0
    for number in range(ROUNDS):
        backend = Backend("i-%08x" % (0x7F3A0000 + number))
        children.append(backend)
        registration = rig.Registration(
            store, backend.ident, "studio", "127.0.0.1:%d" % backend.port
        )
        time.sleep(2.5)
        ident = "9c41d07be2a3%04x" % number
        upload = bytes(65 + (number + i) % 26 for i in range(UPLOAD_BYTES))
        record("client sends POST /edits/%d id=%s bytes=%d" % (number, ident, len(upload)))
        connection = socket.create_connection((ip, host.port), 1.0)
        connection.settimeout(4.0)
        connection.sendall(
            rig.request_bytes("POST", "/edits/%d" % number, rig.attempt_fields(ident, 3000), upload)
        )
        line = backend.process.stdout.readline().strip()
        record("backend %s: %s" % (backend.ident, line))
        time.sleep(0.3)
        if with_trouble:
            os.kill(backend.process.pid, signal.SIGKILL)
            record("backend %s killed in the middle of its answer" % backend.ident)
        else:
            backend.process.stdin.write("go on\n")
            backend.process.stdin.flush()
        answer = rig.read_answer(connection)
        connection.close()
        record("client got %s" % answer)
        is_success = 200 <= answer.status < 300 and answer.complete
        if with_trouble:
            if is_success and len(answer.body) < ANSWER_BYTES:
                broken += 1
                record(
                    "BROKEN MIXED: a whole-looking success with %d of the %d bytes"
                    % (len(answer.body), ANSWER_BYTES)
                )
        else:
            record("backend %s: %s" % (backend.ident, backend.process.stdout.readline().strip()))
            if not is_success or len(answer.body) != ANSWER_BYTES:
                record("the client did not get the whole answer")
                return 1
        registration.remove()
        backend.kill()
        time.sleep(0.5)
    if not host.alive():
        record("the host ended by itself")
        return 1
    return 1 if broken else 0


rig.run_case(FOLDER, body)
