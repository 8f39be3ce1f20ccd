"""Hosts must not crash while backends of some services are silent and their entries lapse.

Nine hosts serve 150 services of two backends each, and one service whose sound backends work
on edits all the while. The backends of 21 services at a time are silent for 5.1 s, so the
store removes their entries after three heartbeat intervals. Clients ask these services.
"""
import os
import random
import resource
import selectors
import socket
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "rig"))
import rig  # noqa: E402

SERVICES = 150
SILENT_SERVICES = 21  # 42 of 300 backends.
SILENT_S = 5.1
ROUNDS = 20
LIMIT_MS = 3000
LAPSE_S = 3 * rig.HEARTBEAT_MS / 1000.0
HOSTS = 9
EDIT_CLIENTS = 6  # For each host.
EDIT_WORK_S = 0.5


class Backends:
    """Many backends in one thread. A silent one reads requests and does not answer them."""

    def __init__(self, record):
        self.record = record
        self.selector = selectors.DefaultSelector()
        self.arrivals = {}
        threading.Thread(target=self.loop, daemon=True).start()

    def add(self, ident):
        listener = socket.socket()
        listener.bind(("127.0.0.1", 0))
        listener.listen(64)
        listener.setblocking(False)
        backend = {"id": ident, "silent": False, "held": [],
                   "address": "127.0.0.1:%d" % listener.getsockname()[1]}
        self.selector.register(listener, selectors.EVENT_READ, (backend, None))
        return backend

    def loop(self):
        while True:
            for key, _ in self.selector.select(0.02):
                backend, data = key.data
                try:
                    if data is None:
                        connection, _ = key.fileobj.accept()
                        connection.setblocking(False)
                        self.selector.register(
                            connection, selectors.EVENT_READ, (backend, bytearray())
                        )
                    else:
                        self.read(key.fileobj, backend, data)
                except OSError:
                    self.close(key.fileobj)

    def close(self, connection):
        try:
            self.selector.unregister(connection)
        except KeyError:
            pass
        connection.close()

    def read(self, connection, backend, data):
        more = connection.recv(65536)
        if not more:
            self.close(connection)
            return
        data += more
        while b"\r\n\r\n" in data:
            head, _, rest = bytes(data).partition(b"\r\n\r\n")
            data[:] = rest
            ident = "-"
            for line in head.split(b"\r\n"):
                if line.lower().startswith(b"x-attempt-id:"):
                    ident = line.split(b":", 1)[1].strip().decode()
            self.arrivals.setdefault(ident, []).append(backend["id"])
            self.record("backend %s: arrives id=%s%s" % (
                backend["id"], ident, ", silent" if backend["silent"] else ""))
            answer = (
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Stamp: st.%s\r\n"
                "Content-Length: 2\r\n\r\nok" % (ident, ident)
            ).encode()
            if backend["silent"]:
                backend["held"].append((connection, answer))
            else:
                connection.send(answer)

    def wake(self, backend):
        backend["silent"] = False
        held, backend["held"] = backend["held"], []
        for connection, answer in held:
            try:
                connection.send(answer)
            except OSError:
                pass


def body(record, temporary, with_trouble, children):
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 8192) if hard > 0 else 8192, hard))
    store = rig.Store()
    services = ["fetch%03d" % i for i in range(SERVICES)]
    routes = [rig.route(s, "/%s/" % s, "safe", s, LIMIT_MS, 500) for s in services]
    routes.append(rig.route("edits", "/edits/", "unsafe", "studio", LIMIT_MS, 1000))
    store.put("op/config", rig.configuration(7, routes, services + ["studio"]))
    backends = Backends(record)
    pairs = {}
    for number, service in enumerate(services):
        pair = []
        for half in range(2):
            backend = backends.add("i-%08x" % (0x20000000 + 2 * number + half))
            backend["registration"] = rig.Registration(
                store, backend["id"], service, backend["address"], slots=2
            )
            pair.append(backend)
        pairs[service] = pair
    editors = [rig.Backend("i-%08x" % (0x7F3A0000 + i), 48, EDIT_WORK_S, record) for i in range(2)]
    children.extend(editors)
    for editor in editors:
        rig.Registration(store, editor.ident, "studio", editor.address, slots=48)
    ips = [rig.loopback_ip(i) for i in range(HOSTS)]
    seeds = [ip + ":8181" for ip in ips[:3]]
    hosts = [rig.Host(temporary, store, ip, seeds) for ip in ips]
    children.extend(hosts)
    if not all(host.wait_ready() for host in hosts):
        record("a host did not get ready")
        return 2
    time.sleep(2.5)
    cut = []
    finished = threading.Event()

    def edit(client):
        host = hosts[client % HOSTS]
        connection = socket.create_connection((host.ip, host.port), 1.0)
        connection.settimeout(5.0)
        number = 0
        while not finished.is_set():
            ident = "ed17%04x%08x" % (client, number)
            try:
                connection.sendall(
                    rig.request_bytes("POST", "/edits/1", rig.attempt_fields(ident, LIMIT_MS), b"x" * 300)
                )
                answer = rig.read_answer(connection)
            except OSError as error:
                answer = rig.Answer()
                answer.end = "send failed (%s)" % error.__class__.__name__
            record("client got id=%s host=%s kept=%d %s" % (ident, host.ip, number > 0, answer))
            if not answer.complete:
                if number > 0:
                    cut.append(ident)
                return
            number += 1

    for client in range(EDIT_CLIENTS * HOSTS):
        threading.Thread(target=edit, args=(client,), daemon=True).start()

    def fetch(host, ident, service):
        fields = rig.attempt_fields(ident, LIMIT_MS)
        try:
            answer = rig.call(host.ip, host.port, "GET", "/%s/1" % service, fields, b"", 5.0)
        except OSError as error:
            answer = rig.Answer()
            answer.end = "no connection (%s)" % error.__class__.__name__
        record("client got id=%s host=%s service=%s %s" % (ident, host.ip, service, answer))

    draw = random.Random()
    for number in range(ROUNDS):
        chosen = [services[(number * SILENT_SERVICES + i) % SERVICES] for i in range(SILENT_SERVICES)]
        began = time.monotonic()
        if with_trouble:
            record("round %d: silent: %s" % (number, " ".join(chosen)))
            for service in chosen:
                for backend in pairs[service]:
                    backend["silent"] = True
                    backend["registration"].pause(LAPSE_S)
        asked = sorted(
            (draw.uniform(1.6, 2.0), which, service) for service in chosen for which in range(HOSTS)
        )
        threads = []
        for index, (at, which, service) in enumerate(asked):
            time.sleep(max(0.0, began + at - time.monotonic()))
            ident = "9c41%04x%08x" % (number, index)
            thread = threading.Thread(target=fetch, args=(hosts[which], ident, service), daemon=True)
            thread.start()
            threads.append(thread)
        time.sleep(max(0.0, began + SILENT_S - time.monotonic()))
        for service in chosen:
            for backend in pairs[service]:
                backends.wake(backend)
                backend["registration"].go_on()
        for thread in threads:
            thread.join(6.0)
        if not all(host.alive() for host in hosts):
            break
    time.sleep(0.2)
    ended = [host for host in hosts if not host.alive()]
    finished.set()
    arrived = set().union(*(editor.arrivals for editor in editors))
    lost = [ident for ident in cut if ident in arrived]
    for host in ended:
        record("host %s ended by itself in round %d: %s" % (host.ip, number, host.process.returncode))
    record("edits of kept connections that reached a sound backend and got no answer: %d" % len(lost))
    if len(lost) > 3:
        record("BROKEN LOST: %s" % ", ".join(sorted(lost)))
        return 1
    return 1 if ended else 0


rig.run_case(FOLDER, body)
