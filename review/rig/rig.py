"""Stand-ins for review scripts: the platform's store, host processes and clients.

Everything runs on loopback addresses. Only the standard library of Python 3 is used.
"""
import base64
import http.server
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
KEY = "k3yofthetenant00001"
TENANT = "gole310"
HOST_NAME = "shop.example"
HEARTBEAT_MS = 1200


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.started = time.monotonic()
        self.lock = threading.Lock()

    def __call__(self, text):
        with self.lock:
            self.file.write("%8.3f %s\n" % (time.monotonic() - self.started, text))
            self.file.flush()


class Store:
    """The platform's store: items with revisions, range reads and watches."""

    def __init__(self):
        self.items = {}
        self.events = []
        self.revision = 100
        self.lock = threading.Lock()
        self.reads = []  # Label of the address at which each read arrived.
        self.labels = {}
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *args):
                pass

            def do_GET(self):
                url = urllib.parse.urlsplit(self.path)
                query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
                status, body = store.answer(url.path, query)
                data = json.dumps(body).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)
                store.reads.append(store.labels.get(self.server.server_port))

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 64

        self.new_server = lambda: Server(("127.0.0.1", 0), Handler)
        self.address = self.new_address("store")

    def new_address(self, label):
        """Opens one more address of the store, by which its readers can be told apart."""
        server = self.new_server()
        self.labels[server.server_port] = label
        threading.Thread(target=server.serve_forever, daemon=True).start()
        return "127.0.0.1:%d" % server.server_port

    def put(self, key, value):
        """Writes an item; the return of this call is the acknowledgement."""
        text = value if isinstance(value, bytes) else json.dumps(value).encode()
        with self.lock:
            self.revision += 1
            created = self.items[key]["created"] if key in self.items else self.revision
            item = {
                "key": key,
                "value": base64.b64encode(text).decode(),
                "revision": self.revision,
                "created": created,
                "lease": 0,
            }
            self.items[key] = item
            self.events.append(item)

    def remove(self, key):
        with self.lock:
            if self.items.pop(key, None):
                self.revision += 1
                self.events.append({"key": key, "revision": self.revision, "removed": True})

    def answer(self, path, query):
        prefix = query.get("prefix", "")
        after = query.get("after", "")
        if path == "/kv-range":
            with self.lock:
                keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
                page = [self.items[k] for k in keys[:500]]
                return 200, {
                    "items": page,
                    "truncated": len(keys) > 500,
                    "asOf": self.revision,
                }
        if path == "/kv-watch":
            end = time.monotonic() + min(int(query.get("waitMs", "0")), 30000) / 1000.0
            while True:
                with self.lock:
                    found = [
                        e
                        for e in self.events
                        if e["revision"] > int(after) and e["key"].startswith(prefix)
                    ]
                    as_of = self.revision
                if found or time.monotonic() >= end:
                    return 200, {"events": found, "asOf": as_of}
                time.sleep(0.005)
        return 404, {}


class Registration:
    """Keeps the entry of a backend in the store, as the backend itself would."""

    def __init__(self, store, ident, service, address, zone="zone-a", slots=6):
        self.store = store
        self.key = "servers/" + ident
        self.entry = {
            "service": service,
            "address": address,
            "zone": zone,
            "version": "v1",
            "slots": slots,
            "state": "ready",
            "coldLeftMs": 0,
            "seq": 1,
            "born": int(time.time() * 1000),
        }
        self.beats = threading.Event()
        self.beats.set()
        self.removed = False
        self.store.put(self.key, self.entry)
        threading.Thread(target=self.beat, daemon=True).start()

    def beat(self):
        while not self.removed:
            time.sleep(HEARTBEAT_MS / 1000.0)
            if self.beats.is_set() and not self.removed:
                self.entry["seq"] += 1
                self.store.put(self.key, self.entry)

    def pause(self, lapse_s):
        """Stops the heartbeats; the store removes the entry after lapse_s."""
        self.beats.clear()
        timer = threading.Timer(lapse_s, self.lapse)
        timer.daemon = True
        timer.start()

    def lapse(self):
        if not self.beats.is_set():
            self.store.remove(self.key)

    def go_on(self):
        """Registers again after a pause."""
        if not self.beats.is_set():
            self.beats.set()
            self.entry["seq"] += 1
            self.store.put(self.key, self.entry)

    def remove(self):
        self.removed = True
        self.store.remove(self.key)


class Backend:
    """A process of backend.py, and when requests arrived at it and ran."""

    def __init__(self, ident, slots, work_s, record):
        self.ident = ident
        self.arrivals = {}
        self.runs = {}
        self.turned_away = {}
        self.process = subprocess.Popen(
            [
                sys.executable,
                os.path.join(os.path.dirname(os.path.abspath(__file__)), "backend.py"),
                ident,
                str(slots),
                str(work_s),
            ],
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.port = int(self.process.stdout.readline().split()[1])
        self.address = "127.0.0.1:%d" % self.port
        threading.Thread(target=self.follow, args=(record,), daemon=True).start()

    def follow(self, record):
        lists = {"arrives": self.arrivals, "runs": self.runs, "turns away": self.turned_away}
        for line in self.process.stdout:
            what, _, ident = line.strip().partition(" id=")
            lists[what][ident] = time.monotonic()
            record("backend %s: %s" % (self.ident, line.strip()))

    def kill(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


def deploy_role():
    """Returns the fields of [roles.host] of the deploy file that are texts."""
    with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
        section = file.read().split("[roles.host]", 1)[1].split("\n[", 1)[0]
    return dict(re.findall(r'^(\w+) = "([^"]*)"$', section, re.M))


def free_port(ip="127.0.0.1"):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def lookup(fields, name):
    value = fields
    for part in name.split("."):
        value = value[int(part)] if isinstance(value, list) else value.get(part)
        if value is None:
            return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(str(v) for v in value)
    return str(value)


class Host:
    """One jackdaw-host, started with the command of the deploy file."""

    def __init__(self, folder, store, ip, seeds, zone="zone-a", first_start=True, store_address=None):
        role = deploy_role()
        name = "front-" + ip
        self.ip = ip
        self.port = free_port(ip)
        self.ready_port = free_port(ip)
        fields = {
            "nodeName": name,
            "zone": zone,
            "ip": ip,
            "bootstrap": first_start,
            "listen": {
                "front": "%s:%d" % (ip, self.port),
                "readiness": "%s:%d" % (ip, self.ready_port),
            },
            "internalPorts": [7160, 7175],
            "seeds": seeds,
            "platform": {"address": store_address or store.address},
            "heartbeatMs": HEARTBEAT_MS,
            "limits": {"memoryMb": 260, "maxFds": 4100},
            "bounds": {
                "graceS": 6,
                "drainMs": 3000,
                "configApplyMs": 3000,
                "retrySlack": 58,
                "retryWindowS": 10,
                "quotaSlack": 20,
                "coldSlack": 5,
            },
        }
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            text = re.sub(
                r"\{\{([A-Za-z0-9_.]+)\}\}",
                lambda match: lookup(fields, match.group(1)),
                file.read(),
            )
        settings = os.path.join(folder, name + ".conf")
        with open(settings, "w", encoding="utf-8") as file:
            file.write(text)
        self.log_path = os.path.join(folder, name + ".log")
        with open(self.log_path, "wb") as log:
            self.process = subprocess.Popen(
                role["run"].split(),
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={
                    "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
                    "HOME": folder,
                    "JACKDAWARCH_BOOT": settings,
                },
            )

    def wait_ready(self, limit_s=10.0):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            try:
                if call(self.ip, self.ready_port, "GET", "/ready", {}, b"", 1.0).status == 200:
                    return True
            except OSError:
                pass
            time.sleep(0.05)
        return False

    def alive(self):
        return self.process.poll() is None

    def kill(self):
        if self.alive():
            self.process.kill()
        self.process.wait()


class Answer:
    def __init__(self):
        self.status = 0
        self.fields = {}
        self.body = b""
        self.complete = False
        self.end = ""

    def __str__(self):
        return "status=%d complete=%s body_bytes=%d end=%s stamp=%s" % (
            self.status,
            self.complete,
            len(self.body),
            self.end,
            self.fields.get("x-server-stamp", "-"),
        )


def read_answer(connection):
    """Reads one answer; answers of the host state their length."""
    answer = Answer()
    data = b""
    try:
        while b"\r\n\r\n" not in data:
            more = connection.recv(65536)
            if not more:
                answer.end = "closed without an answer" if not data else "closed in the head"
                return answer
            data += more
        head, answer.body = data.split(b"\r\n\r\n", 1)
        lines = head.decode("latin-1").split("\r\n")
        answer.status = int(lines[0].split(" ")[1])
        for line in lines[1:]:
            name, _, value = line.partition(":")
            answer.fields[name.strip().lower()] = value.strip()
        length = int(answer.fields.get("content-length", "0"))
        while len(answer.body) < length:
            more = connection.recv(65536)
            if not more:
                answer.end = "closed in the body"
                return answer
            answer.body += more
        answer.complete = True
        answer.end = "whole"
    except socket.timeout:
        answer.end = "no answer in time"
    except ConnectionError as error:
        answer.end = "reset (%s)" % error.__class__.__name__
    return answer


def request_bytes(method, path, fields, body):
    lines = ["%s %s HTTP/1.1" % (method, path), "Host: " + HOST_NAME]
    lines += ["%s: %s" % item for item in fields.items()]
    if body or method == "POST":
        lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def call(ip, port, method, path, fields, body, timeout_s):
    with socket.create_connection((ip, port), 1.0) as connection:
        connection.settimeout(timeout_s)
        try:
            connection.sendall(request_bytes(method, path, fields, body))
        except ConnectionError:
            pass
        return read_answer(connection)


def attempt_fields(ident, deadline_ms):
    return {
        "X-Attempt-Id": ident,
        "X-Deadline-Ms": str(deadline_ms),
        "Authorization": "Token " + KEY,
    }


def configuration(version, routes, services, rate_per_s=0, burst=0):
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "healthPath": "/health",
                "maxConns": 110,
                "protocol": "h1",
                "tls": False,
                "coldStartS": 3.0,
                "coldPerS": 0.0,
            }
            for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 262144,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [
            {
                "name": TENANT,
                "apiKeys": [KEY],
                "priority": 1,
                "ratePerS": rate_per_s,
                "burst": burst,
            }
        ],
    }


def route(name, prefix, kind, service, timeout_ms=3000, target_ms=500):
    return {
        "name": name,
        "host": HOST_NAME,
        "prefix": prefix,
        "routeKind": kind,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": target_ms,
        "priority": 2,
        "service": service,
        "maxAttempts": 2,
        "public": False,
    }


def loopback_ip(number):
    """Returns a loopback address of this run at which the fixed ports are free."""
    pid = os.getpid()
    return "127.%d.%d.%d" % (64 + pid % 64, (pid // 64) % 250, 10 + number)


def run_case(folder, body):
    """Runs body (record, temporary folder, with_trouble) and exits with its result: 0 if
    the rule held, 1 if it was broken, 2 if the case could not run."""
    record = Record(folder)
    temporary = tempfile.mkdtemp(prefix="jackdaw-review-")
    children = []
    result = 2

    def on_alarm(number, frame):
        raise TimeoutError("the case took too long")

    signal.signal(signal.SIGALRM, on_alarm)
    signal.signal(signal.SIGTERM, on_alarm)
    signal.alarm(117)
    try:
        result = body(record, temporary, os.environ.get("TROUBLE", "1") != "0", children)
    except Exception as error:  # The case could not run; the record says why.
        record("could not run: %s: %s" % (error.__class__.__name__, error))
        result = 2
    finally:
        signal.alarm(0)
        for child in children:
            child.kill()
        if os.environ.get("KEEP_LOGS"):
            record("logs kept")
            shutil.copytree(temporary, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(temporary, ignore_errors=True)
    record("result %d" % result)
    sys.stdout.flush()
    os._exit(result)
