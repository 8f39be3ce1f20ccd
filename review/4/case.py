"""A request that a host has read before SIGTERM must get an answer.

The host is stopped with SIGTERM while requests wait in it for a connection to a backend.
They have not been passed on, and their time limit ends after the grace period.
"""
import os
import signal
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "rig"))
import rig  # noqa: E402

SLOTS = 2
WORK_S = 0.7
REQUESTS = 24
TIME_LIMIT_MS = 10000
GRACE_S = 6.0
LOSS_SLACK_S = 0.2


def body(record, temporary, with_trouble, children):
    store = rig.Store()
    config = rig.configuration(
        7, [rig.route("edits", "/edits/", "unsafe", "studio", TIME_LIMIT_MS, 2000)], ["studio"]
    )
    config["services"][0]["maxConns"] = 26
    store.put("op/config", config)
    backends = [
        rig.Backend("i-%08x" % (0x7F3A0000 + i), SLOTS, WORK_S, record) for i in range(2)
    ]
    children.extend(backends)
    for backend in backends:
        rig.Registration(store, backend.ident, "studio", backend.address, slots=SLOTS)
    ip = rig.loopback_ip(1)
    host = rig.Host(temporary, store, ip, [ip + ":8181"])
    children.append(host)
    if not host.wait_ready():
        record("the host did not get ready")
        return 2
    time.sleep(2.5)
    results = {}

    def run(number):
        ident = "9c41d07b%08x" % number
        record("client sends POST id=%s" % ident)
        sent = time.monotonic()
        answer = rig.call(
            host.ip, host.port, "POST", "/edits/1",
            rig.attempt_fields(ident, TIME_LIMIT_MS), b"x" * 300, TIME_LIMIT_MS / 1000.0 + 1.0,
        )
        results[ident] = (sent, time.monotonic(), answer)
        record("client got id=%s after %.2f s %s" % (ident, time.monotonic() - sent, answer))

    threads = [threading.Thread(target=run, args=(i,), daemon=True) for i in range(REQUESTS)]
    for thread in threads:
        thread.start()
    time.sleep(0.3)
    stopped = time.monotonic()
    if with_trouble:
        host.process.send_signal(signal.SIGTERM)
        record("SIGTERM to the host")
    for thread in threads:
        thread.join(TIME_LIMIT_MS / 1000.0 + 2.0)
    if not with_trouble and not host.alive():
        record("the host ended by itself")
        return 1
    arrived = {}
    for backend in backends:
        arrived.update(backend.arrivals)
    unanswered = [ident for ident, (_, _, answer) in results.items() if not answer.complete]
    lost = [
        ident
        for ident in unanswered
        if ident not in arrived
        and results[ident][1] - results[ident][0] > LOSS_SLACK_S
        and results[ident][1] - results[ident][0] < TIME_LIMIT_MS / 1000.0
    ]
    record("answered: %d, connection ended without an answer: %d, of these never passed on: %d" % (
        len(results) - len(unanswered), len(unanswered), len(lost)))
    if lost:
        record("BROKEN LOST: read, held %.1f s and cut %.1f s after SIGTERM: %s" % (
            results[lost[0]][1] - results[lost[0]][0], results[lost[0]][1] - stopped,
            ", ".join(sorted(lost))))
        return 1
    if not with_trouble and unanswered:
        return 1
    return 0


rig.run_case(FOLDER, body)
