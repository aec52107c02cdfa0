"""A small deployment on loopback: the project's programs as processes, between the stand-ins."""

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time

from http11 import call
from minion import Minion
from store import Store

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAMS = {"entry": "target/release/rampbay-grid-entry", "side": "target/release/rampbay-grid-side"}
KEY = "key-of-the-tenant"
HOST = "jobs.example"
PREFIX = "/q1/"
# Exit status of a case that breaks its rule; an uncaught error of Python ends with 1.
BROKEN = 10
FRONTEND, READINESS, CONTROL, APP, STORE, PEER, METRICS = range(7)


class CannotRun(Exception):
    """The case can't run here."""


class Process:
    """One of the project's programs."""

    def __init__(self, site, kind, name, settings):
        self.site, self.kind, self.name = site, kind, name
        self.path = site.folder / f"{name}.json"
        self.path.write_text(json.dumps(settings))
        self.child = None

    def start(self):
        """Starts the program by the deploy file's command."""
        log = open(self.site.folder / f"{self.name}.log", "ab")
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["RAMPBAY_CONFIG"] = str(self.path)
        self.child = subprocess.Popen(
            [str(ROOT / PROGRAMS[self.kind])], cwd=ROOT, env=env, stdout=log, stderr=log,
            stdin=subprocess.DEVNULL)
        log.close()

    def signal(self, number):
        """Sends a signal to the process."""
        if self.child and self.child.poll() is None:
            self.child.send_signal(number)

    def end(self):
        """Ends the process for certain."""
        if self.child and self.child.poll() is None:
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
            self.child.wait()


class Site:
    """Store, entries, side machines with their minions, and the record of what was seen."""

    def __init__(self, case_folder, entries=2, sides=3, gpus=8, racks=3, keeps_id=False):
        self.record = open(case_folder / "record.txt", "w")
        self.began = time.monotonic()
        self.counted_second, self.counted = 0, {}
        self.keeps_id = keeps_id
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="rampbay-review-"))
        self.jobs, self.starts, self.ends, self.acknowledged = {}, [], [], []
        self.entry_count, self.side_count, self.gpus, self.racks = entries, sides, gpus, racks
        self.block, self.ports = self.pick_addresses()
        self.store = Store(self.ip(1), self.ports[STORE])
        self.entries, self.sides, self.minions = [], [], []
        self.version = 0

    def ip(self, number):
        return f"127.{self.block[0]}.{self.block[1]}.{number}"

    def pick_addresses(self):
        """Picks a block of loopback addresses and ports that are free on all of them."""
        count = 1 + self.entry_count + self.side_count
        for _ in range(50):
            self.block = (random.randint(20, 250), random.randint(1, 250))
            base = random.randint(20000, 30000)
            ports = [base + index for index in range(7)]
            if all(self.is_free(self.ip(n), port) for n in range(1, count + 1) for port in ports):
                return self.block, ports
        raise CannotRun("no free addresses")

    @staticmethod
    def is_free(ip, port):
        with socket.socket() as probe:
            try:
                probe.bind((ip, port))
                return True
            except OSError:
                return False

    # What was seen.

    def note(self, text):
        self.record.write(f"{time.monotonic() - self.began:9.3f} {text}\n")
        self.record.flush()

    def note_run(self, what, task, minion, text):
        """Records a line on a run; of a job of very many tasks, only how many such lines a second has at a minion."""
        job = self.jobs[task.split(".")[0]]
        if sum(step["count"] for step in job["steps"]) <= 1000:
            self.note(text)
            return
        second = int(time.monotonic() - self.began)
        if second != self.counted_second:
            self.write_counted()
            self.counted_second = second
        key = (minion.name, what)
        self.counted[key] = self.counted.get(key, 0) + 1

    def write_counted(self):
        """Writes the counts of the latest second."""
        for (name, what), count in sorted(self.counted.items()):
            self.note(f"second {self.counted_second}: {what} at {name}, {count} runs of the large job")
        self.counted = {}

    def step_of(self, task):
        """Returns the step of a task, as it was submitted."""
        job, _, step, _ = task.split(".")
        return self.jobs[job]["steps"][int(step)]

    def demand_of(self, task):
        """Returns the GPUs of a task."""
        return self.step_of(task).get("gpu", 0)

    def note_start(self, minion, run):
        self.starts.append((time.monotonic(), run.task, run.attempt, minion.name))
        self.note_run("start", run.task, minion, f"start {run.task}/{run.attempt} at {minion.name}")

    def note_end(self, minion, run, how):
        self.ends.append((time.monotonic(), run.task, run.attempt, how))
        self.note_run(f"end {how}", run.task, minion, f"end {run.task}/{run.attempt} at {minion.name} {how}")

    def note_acknowledged(self, minion, row, counts):
        """Records that an end was taken note of, and whether that counts."""
        if counts:
            self.acknowledged.append((time.monotonic(), row[1], row[2], row[3]))
        self.note_run(f"taken note of {row[3]}", row[1], minion,
                      f"taken note of {row[1]}/{row[2]} {row[3]} at {minion.name} counts={counts}")

    def begun(self, job):
        """Returns whether a task of a job has begun."""
        return any(task.startswith(f"{job}.") for _, task, _, _ in self.starts)

    # The processes.

    def settings(self, name, number, zone, role):
        """Returns settings as the project's template makes them from those of a small deployment."""
        ip = self.ip(number)
        seeds = [f"{self.ip(2 + n)}:{self.ports[CONTROL]}" for n in range(min(3, self.entry_count))]
        base = {
            "node": name, "ip": ip, "failure_domain": zone, "peer_port": self.ports[PEER],
            "metrics_port": self.ports[METRICS], "seeds": seeds,
            "registration": f"{ip}:{self.ports[CONTROL]}",
            "store": f"{self.store.address[0]}:{self.store.address[1]}", "lease_ms": 6000,
            "stop_ms": 400, "revocation_ms": 5000, "awareness_ms": 3000, "heartbeat_ms": 1500,
            "visible_ms": 3000, "status_s": 120, "grace_s": 6, "remote_penalty": 3,
            "checkpoint_s": 0.5, "restore_ms": 100, "link_mbps": 1000.0, "cores": 1,
            "leader_ttl_ms": 1000,
        }
        if role == "entry":
            base.update({"callers": f"{ip}:{self.ports[FRONTEND]}",
                         "readiness": f"{ip}:{self.ports[READINESS]}", "cpu_share": 0.25})
        else:
            base["cpu_share"] = 0.15
        return base

    def configure(self, queues, tenants=None):
        """Writes the next version of the configuration, as the operator does."""
        self.version += 1
        tenants = tenants or [{"name": "tenant-1", "api_keys": [KEY]}]
        value = {"version": self.version, "routes": queues, "tenants": tenants,
                 "services": [{"name": "svc", "preconditions": True}],
                 "limits": {"max_body_bytes": 262144}}
        self.store.put("keyed.op", "config", json.dumps(value).encode())
        self.note(f"configuration {self.version}")

    async def start(self, queues):
        """Starts everything, and waits until the entries are ready and the minions are known."""
        for program in PROGRAMS.values():
            if not (ROOT / program).exists():
                raise CannotRun(f"{program} isn't built")
        await self.store.server.start()
        self.configure(queues)
        for index in range(self.entry_count):
            name, number = f"edge-{index + 1}", 2 + index
            settings = self.settings(name, number, f"z{index % 3 + 1}", "entry")
            self.entries.append(Process(self, "entry", name, settings))
        for index in range(self.side_count):
            name, number = f"side-{index + 1}", 2 + self.entry_count + index
            zone = f"z{index % 3 + 1}"
            self.sides.append(Process(self, "side", name, self.settings(name, number, zone, "side")))
            ip = self.ip(number)
            self.minions.append(Minion(
                self, f"minion-{index + 1}", (ip, self.ports[APP]), (ip, self.ports[CONTROL]), zone,
                ["a", f"r{index % self.racks + 1}"],
                {"cpu": 128000, "mem_mb": 262144, "gpu": self.gpus}, "svc"))
        for process in self.entries + self.sides:
            process.start()
        for minion in self.minions:
            minion.keeps_id = self.keeps_id
            await minion.start()
        await self.until(self.is_ready, 25, "the entries aren't ready")

    async def is_ready(self):
        for index in range(self.entry_count):
            address = (self.ip(2 + index), self.ports[READINESS])
            status, _ = await call(address, "GET", "/rampbay/readyz", timeout=1)
            if status != 200:
                return False
        registered = {key for key in self.store.newest_values("keyed.rampbay")
                      if key.startswith(b"worker/")}
        return len(registered) >= self.side_count

    async def until(self, condition, seconds, text):
        """Waits for a condition; the case can't run without it."""
        end = time.monotonic() + seconds
        while not await condition():
            if time.monotonic() > end:
                raise CannotRun(text)
            await asyncio.sleep(0.05)

    # The callers.

    async def ask(self, entry, method, path, body=None, key=KEY, timeout=3.0, host=HOST):
        """Makes a caller's call at an entry."""
        headers = {"Host": host, "X-Rampbay-Deadline-Ms": str(int(timeout * 1000))}
        if key:
            headers["Authorization"] = f"Token {key}"
        if body is not None:
            headers["Content-Type"] = "application/json"
        data = b"" if body is None else json.dumps(body).encode()
        address = (self.ip(2 + entry), self.ports[FRONTEND])
        sent = time.monotonic()
        status, answer = await call(address, method, path, headers, data, timeout)
        took = (time.monotonic() - sent) * 1000
        text = answer.decode("utf-8", "replace")
        self.note(f"{method} {path} at edge-{entry + 1}: {status} {text} ({took:.0f} ms)")
        return status, answer

    def new_job(self, steps, spec):
        """Creates a job, and returns its id."""
        job = f"{random.getrandbits(64):016x}"
        self.jobs[job] = {"spec": spec, "steps": steps}
        return job

    async def submit(self, entry, job, prefix=PREFIX, timeout=3.0):
        """Submits a job once."""
        status, _ = await self.ask(entry, "POST", prefix + job, self.jobs[job], timeout=timeout)
        return status

    async def close(self):
        """Ends all processes."""
        for process in self.entries + self.sides:
            process.end()
        for minion in self.minions:
            for task in minion.tasks:
                task.cancel()
            await minion.server.stop()
        await self.store.server.stop()
        self.write_counted()
        self.note("all processes ended")
        self.record.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def queue(name="queue-1", prefix=PREFIX, priority=1, attempts=3, **more):
    """Returns a route of the configuration."""
    return {"name": name, "host": HOST, "path_prefix": prefix, "service": "svc",
            "priority": priority, "attempts": attempts, "skew": 1.5, "target_latency_ms": 1000, **more}


def run_case(case_folder, case, limit_s=110, **site_options):
    """Runs a case and returns its exit status: `BROKEN`, 0 if the rule held, 2 if it couldn't run."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main():
        site = None
        # Whoever ends the case ends its processes with it.
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, asyncio.current_task().cancel)
        try:
            site = Site(case_folder, **site_options)
            site.note(f"trouble: {has_trouble}")
            broken = await asyncio.wait_for(case(site, has_trouble), limit_s)
            site.note(f"broken: {broken}" if broken else "the rule held")
            print(broken or "the rule held")
            return BROKEN if broken else 0
        except (Exception, asyncio.CancelledError) as error:  # The case says nothing of the rule then.
            print(f"the case couldn't run: {error!r}")
            return 2
        finally:
            if site:
                await site.close()

    return asyncio.run(main())
