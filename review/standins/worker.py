"""A stand-in for a minion, as PROTOCOL.md describes it. It guards its capacity."""

import asyncio
import json
import time
import zlib

from http11 import call, render, serve

HEARTBEAT_S = 1.5
TICK_S = 0.02
MAX_HOLD_MS = 6000
STOP_S = 0.1


# The work of a job's tasks differs by up to this share, as in the site file.
UNEVEN = 0.15


def parse_spec(spec, task):
    """Returns the work of a task in milliseconds, and what it takes of the room."""
    work_ms, cpu, mem_mb, gpu = (int(word) for word in spec.split())
    deviation = (zlib.crc32(task.encode()) % 1001) / 500 - 1
    return int(work_ms * (1 + UNEVEN * deviation)), {"cpu": cpu, "mem_mb": mem_mb, "gpu": gpu}


class Run:
    def __init__(self, work_ms, room, checkpoint):
        self.began = time.monotonic()
        self.work_s = work_ms / 1000
        self.room = room
        self.checkpoint = checkpoint
        self.stops_at = None

    def percent(self):
        return int(min(99, 100 * (time.monotonic() - self.began) / max(self.work_s, 0.001)))

    def outcome(self):
        now = time.monotonic()
        if self.stops_at is not None:
            return "stopped" if now >= self.stops_at else None
        return "done" if now >= self.began + self.work_s else None


class Worker:
    """One minion, in one life."""

    def __init__(self, name, service, address, side, zone, labels, capacity, log):
        self.name, self.service, self.address, self.side = name, service, address, side
        self.zone, self.labels, self.capacity, self.log = zone, labels, capacity, log
        self.born_ms = int(time.time() * 1000)
        self.started = time.monotonic()
        self.sequence = 0
        self.fence = 0
        self.lease_until = 0
        self.running = {}
        self.highest = {}
        self.ended = []
        self.end_number = 0
        # Every start and end, for the check: (time, task, attempt, what).
        self.history = []

    def clock_ms(self):
        return int((time.monotonic() - self.started) * 1000)

    def note(self, task, attempt, what):
        self.history.append((time.monotonic(), task, attempt, what))
        self.log(f"minion {self.name}: {task} run {attempt} {what}")

    async def start(self):
        self.server = await serve(self.address, self.handle)
        self.tasks = [asyncio.create_task(self.beat()), asyncio.create_task(self.work())]

    async def beat(self):
        while True:
            self.sequence += 1
            ip, port = self.address
            body = {
                "service": self.service, "address": f"{ip}:{port}", "zone": self.zone, "version": "v1", "slots": 8,
                "state": "ready", "cold_left_ms": 0, "capacity": self.capacity, "labels": self.labels,
                "clock_ms": self.clock_ms(), "seq": self.sequence, "born": self.born_ms,
            }
            path = f"/rampbay/instances/{self.name}/heartbeat"
            await call(self.side, "POST", path, {"content-type": "application/json"}, json.dumps(body).encode(), 1.0)
            await asyncio.sleep(HEARTBEAT_S)

    async def work(self):
        while True:
            await asyncio.sleep(TICK_S)
            lapsed = self.clock_ms() > self.lease_until
            for key, run in list(self.running.items()):
                how = "lapsed" if lapsed else run.outcome()
                if how:
                    self.end(key, how)

    def end(self, key, how):
        run = self.running.pop(key)
        task, attempt = key
        self.end_number += 1
        self.highest[task] = max(self.highest.get(task, 0), attempt)
        self.ended.append([self.end_number, task, attempt, how, run.checkpoint])
        self.note(task, attempt, how)

    def free(self):
        used = {name: sum(run.room[name] for run in self.running.values()) for name in self.capacity}
        return {name: self.capacity[name] - used[name] for name in self.capacity}

    def answer(self, status, document):
        document["clock_ms"] = self.clock_ms()
        return render(status, json.dumps(document).encode())

    async def handle(self, request):
        wanted = request.headers.get("x-rampbay-expect-instance")
        if wanted is not None and wanted != self.name:
            return render(421)
        body = json.loads(request.body or b"{}")
        if body.get("fencing_token", 0) < self.fence:
            return self.answer(409, {"reason": "fence"})
        self.fence = max(self.fence, body.get("fencing_token", 0))
        if request.path == "/rampbay/run-start":
            return self.run_start(body)
        if request.path == "/rampbay/run-stop":
            return self.run_stop(body)
        if request.path == "/rampbay/hold":
            return await self.hold(body)
        return render(404)

    def extend(self, deadline_ms):
        self.lease_until = max(self.lease_until, min(deadline_ms, self.clock_ms() + MAX_HOLD_MS))

    def run_start(self, body):
        task, attempt = body["task"], body["attempt"]
        if body["deadline_ms"] < self.clock_ms():
            return self.answer(409, {"reason": "late"})
        self.extend(body["deadline_ms"])
        if (task, attempt) in self.running:
            return self.answer(200, {})
        if attempt <= self.highest.get(task, 0):
            return self.answer(409, {"reason": "old"})
        work_ms, room = parse_spec(body["spec"], task)
        if any(room[name] > free for name, free in self.free().items()):
            return self.answer(409, {"reason": "room"})
        self.running[(task, attempt)] = Run(work_ms, room, body.get("checkpoint", ""))
        self.note(task, attempt, "started")
        return self.answer(200, {})

    def run_stop(self, body):
        task, attempt = body["task"], body["attempt"]
        run = self.running.get((task, attempt))
        if run is None:
            self.highest[task] = max(self.highest.get(task, 0), attempt)
        elif run.stops_at is None:
            run.stops_at = time.monotonic() + STOP_S
            self.note(task, attempt, "told to stop")
        return self.answer(200, {})

    async def hold(self, body):
        if "deadline_ms" in body:
            self.extend(body["deadline_ms"])
        self.ended = [row for row in self.ended if row[0] > body.get("last_seen", 0)]
        until = time.monotonic() + min(body.get("wait_ms", 0), 2000) / 1000
        while not self.ended and time.monotonic() < until:
            await asyncio.sleep(TICK_S)
        running = [[task, attempt, run.checkpoint, run.percent()] for (task, attempt), run in self.running.items()]
        return self.answer(200, {"running": running, "finished": self.ended[:500], "born": self.born_ms})
