"""A stand-in for a minion: its lives, its runs and its heartbeats, as PROTOCOL.md describes them.

The `spec` of a task says how long its work takes: `work=MILLISECONDS`.
"""

import asyncio
import json
import time
import uuid

from http11 import Response, Server, call

HEARTBEAT_S = 1.5
MAX_HOLD_MS = 6000
STOP_S = 0.2
TICK_S = 0.01
CHECKPOINT_S = 0.5


class Run:
    """A run at a minion."""

    def __init__(self, task, attempt, spec):
        self.task, self.attempt = task, attempt
        self.began = time.monotonic()
        fields = dict(part.split("=", 1) for part in spec.split(";") if "=" in part)
        self.work_s = int(fields.get("work", "1000")) / 1000
        self.outcome = fields.get("end", "done")
        self.stops_at = None
        self.saves = False

    def saved(self):
        """Returns the checkpoint of a task that saves its progress; 16 hex digits, as on the pages."""
        steps = int((time.monotonic() - self.began) / CHECKPOINT_S) if self.saves else 0
        return f"{int(steps * CHECKPOINT_S * 1000):08x}{self.task[:8]}" if steps else ""

    def percent(self):
        return min(99, int((time.monotonic() - self.began) / max(self.work_s, 0.001) * 100))


class Minion:
    """A minion beside one side machine. `site` keeps the record of what it does."""

    def __init__(self, site, name, address, control, zone, labels, capacity, service):
        self.site, self.name, self.control = site, name, control
        self.address, self.zone, self.labels = address, zone, labels
        self.capacity, self.service = capacity, service
        self.server = Server(address[0], address[1], self.answer)
        self.tasks = []
        # Whether its lives share an id. Each tells when it began.
        self.keeps_id = False
        self.id = ""
        self.begin_life()

    def begin_life(self):
        """Begins a life, which knows nothing of earlier ones."""
        if not (self.keeps_id and self.id):
            self.id = f"i-{uuid.uuid4().hex[:8]}"
        self.born = int(time.time() * 1000)
        self.started = time.monotonic()
        # Numbers of ends that were listed when the lease lapsed.
        self.lapsed_ends = set()
        self.running, self.finished, self.highest = {}, [], {}
        self.number = self.fence = self.lease_until = self.sequence = 0
        self.ends_changed = asyncio.Event()
        self.is_up = True
        self.back = asyncio.Event()
        self.state = "ready"

    def clock(self):
        return int((time.monotonic() - self.started) * 1000) + 1000

    async def start(self):
        """Listens, works and sends heartbeats."""
        await self.server.start()
        self.tasks = [asyncio.ensure_future(self.work()), asyncio.ensure_future(self.beat())]
        self.site.note(f"minion {self.name} up id={self.id}")

    async def start_again(self, first_beat_s):
        """Crashes and begins a new life at once, whose first heartbeat comes after a while."""
        self.end_life()
        await self.server.stop()
        self.begin_life()
        await self.server.start()
        self.tasks = [asyncio.ensure_future(self.work())]
        self.site.note(f"minion {self.name} up again id={self.id} born={self.born}")
        await asyncio.sleep(first_beat_s)
        self.tasks.append(asyncio.ensure_future(self.beat()))

    def end_life(self):
        """Ends the life with all of its runs, without a word."""
        self.is_up = False
        for run in list(self.running.values()):
            self.site.note_end(self, run, "with its minion")
        self.running = {}
        for task in self.tasks:
            task.cancel()
        self.site.note(f"minion {self.name} crashed id={self.id}")

    async def crash(self):
        """Ends the life for good: its address refuses connections."""
        self.end_life()
        await self.server.stop()

    async def crash_dark(self, seconds):
        """Ends the life; the address is silent for a while, and then a new life begins there."""
        self.end_life()
        back = self.back
        await asyncio.sleep(seconds)
        await self.server.stop()
        back.set()
        self.begin_life()
        await self.start()

    async def beat(self):
        while True:
            self.sequence += 1
            body = {"service": self.service, "address": f"{self.address[0]}:{self.address[1]}",
                    "zone": self.zone, "version": "v1", "slots": 8, "state": self.state,
                    "cold_left_ms": 0, "capacity": self.capacity, "labels": self.labels,
                    "clock_ms": self.clock(), "seq": self.sequence, "born": self.born}
            status, _ = await call(self.control, "POST", f"/rampbay/instances/{self.id}/heartbeat",
                                   {"Content-Type": "application/json"},
                                   json.dumps(body).encode(), 1.0)
            self.last_ack = status
            await asyncio.sleep(HEARTBEAT_S if status == 200 else 0.2)

    async def work(self):
        while True:
            await asyncio.sleep(TICK_S)
            now = time.monotonic()
            lapsed = self.clock() > self.lease_until
            if lapsed:
                self.lapsed_ends.update(row[0] for row in self.finished)
            for run in list(self.running.values()):
                if lapsed:
                    self.end(run, "lapsed")
                elif run.stops_at is not None:
                    if run.stops_at <= now:
                        self.end(run, "stopped")
                elif now - run.began >= run.work_s:
                    self.end(run, run.outcome)

    def end(self, run, how):
        """Ends a run and lists its end."""
        del self.running[(run.task, run.attempt)]
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.attempt)
        self.number += 1
        self.finished.append([self.number, run.task, run.attempt, how, ""])
        self.site.note_end(self, run, how)
        self.ends_changed.set()
        self.ends_changed = asyncio.Event()

    def reply(self, status, value):
        return Response(status, {**value, "clock_ms": self.clock(), "born": self.born})

    def extend(self, deadline):
        self.lease_until = max(self.lease_until, min(int(deadline), self.clock() + MAX_HOLD_MS))

    async def answer(self, request):
        if not self.is_up:
            await self.back.wait()
            return None
        wanted = request.headers.get("x-rampbay-expect-instance")
        if wanted not in (None, self.id):
            return Response(421)
        body = request.json()
        fence = body.get("fencing_token", 0)
        if fence < self.fence:
            return self.reply(409, {"reason": "fence"})
        if request.path == "/rampbay/run-start":
            return self.run_start(body, fence)
        if request.path == "/rampbay/run-stop":
            return self.run_stop(body, fence)
        if request.path == "/rampbay/hold":
            return await self.hold(body, fence)
        return Response(404)

    def run_start(self, body, fence):
        task, attempt, deadline = body["task"], body["attempt"], body["deadline_ms"]
        key = (task, attempt)
        if deadline < self.clock():
            return self.reply(409, {"reason": "late"})
        self.fence = fence
        self.extend(deadline)
        if attempt <= self.highest.get(task, 0):
            return self.reply(409, {"reason": "old"})
        if key not in self.running:
            if not self.has_room(task):
                return self.reply(409, {"reason": "room"})
            run = Run(task, attempt, body["spec"])
            run.saves = self.site.step_of(task).get("checkpointing", False)
            self.running[key] = run
            self.site.note_start(self, run)
        return self.reply(200, {})

    def has_room(self, task):
        """Returns whether a task fits beside what runs here."""
        held = [self.site.step_of(run.task) for run in self.running.values()]
        wanted = self.site.step_of(task)
        return all(sum(step.get(name, 0) for step in held) + wanted.get(name, 0) <= total
                   for name, total in self.capacity.items())

    def run_stop(self, body, fence):
        self.fence = fence
        task, attempt = body["task"], body["attempt"]
        run = self.running.get((task, attempt))
        if run is None:
            self.highest[task] = max(self.highest.get(task, 0), attempt)
        elif run.stops_at is None:
            run.stops_at = time.monotonic() + STOP_S
        self.site.note(f"stop {task}/{attempt} at {self.name}")
        return self.reply(200, {})

    async def hold(self, body, fence):
        self.fence = fence
        if body.get("deadline_ms"):
            self.extend(body["deadline_ms"])
        seen = body.get("last_seen", 0)
        for row in self.finished:
            if row[0] <= seen:
                # RULES: the note doesn't count if the lease lapsed between the end and it.
                self.site.note_acknowledged(self, row, row[0] not in self.lapsed_ends)
        self.finished = [row for row in self.finished if row[0] > seen]
        until = time.monotonic() + min(body.get("wait_ms", 0), 2000) / 1000
        while not self.finished and time.monotonic() < until:
            try:
                await asyncio.wait_for(self.ends_changed.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                break
        running = [[r.task, r.attempt, r.saved(), r.percent()] for r in self.running.values()]
        return self.reply(200, {"running": running, "finished": self.finished[:500]})
