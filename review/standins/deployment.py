"""Starts the programs of deploy/system.toml on loopback addresses, between stand-ins for store, minions and clients."""

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

from http11 import call
from store import Store
from worker import Worker

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = ["kwadaso-hall", "ayeduase-hall", "bomso-hall"]
SERVICE = "huvo11a"
HOST = "nony24.example"
# A minion of the users' sheet: 128 cores, 256 GB, 8 GPUs, three to a rack.
CAPACITY = {"cpu": 128_000, "mem_mb": 262_144, "gpu": 8}
BOUNDS = {"cancel_ms": 3000, "contact_ms": 3000, "reclaim_ms": 2900, "stop_timeout_ms": 400}


class CannotRun(Exception):
    """The case couldn't run."""


class Site:
    """Some entries, and agents with a minion each."""

    def __init__(self, folder, routes, tenants, entries=3, sides=4):
        self.record = open(pathlib.Path(folder) / "record.txt", "w")
        self.began = time.monotonic()
        self.routes, self.tenants = routes, tenants
        self.entry_count, self.side_count = entries, sides
        self.processes = []
        self.temporary = pathlib.Path(tempfile.mkdtemp(prefix="rampbay-review-"))
        self.store = Store(self.log)
        self.workers = []

    def log(self, text):
        self.record.write(f"{time.monotonic() - self.began:8.3f}  {text}\n")
        self.record.flush()

    def choose_ports(self):
        ips = [f"127.0.0.{11 + index}" for index in range(self.entry_count + self.side_count)]
        for _ in range(50):
            base = random.randrange(12_000, 30_000, 16)
            names = ["peer", "metrics", "callers", "readiness", "registration", "worker", "store"]
            ports = {name: base + number for number, name in enumerate(names)}
            if all(is_free(ip, port) for ip in ["127.0.0.1", *ips] for port in ports.values()):
                return ips, ports
        raise CannotRun("no free ports")

    async def start(self):
        roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        commands = {role["serves"][0]: role["run"].split() for role in roles.values()}
        for command in commands.values():
            if not (ROOT / command[0]).exists():
                raise CannotRun(f"{command[0]} isn't built")
        ips, ports = self.choose_ports()
        self.ports = ports
        store = ("127.0.0.1", ports["store"])
        config = {
            "version": 7, "routes": self.routes, "tenants": self.tenants,
            "services": [{"name": SERVICE, "health_path": "/healthz", "max_conns": 64, "protocol": "h1", "tls": False,
                          "preconditions": True, "headroom": False}],
            "limits": {"max_header_bytes": 16_384, "max_body_bytes": 262_144},
        }
        self.store.put("keyed.op", "config", json.dumps(config).encode())
        await self.store.start(store)
        entry_ips, side_ips = ips[: self.entry_count], ips[self.entry_count :]
        seeds = [f"{ip}:{ports['registration']}" for ip in entry_ips[:3]]
        self.entries = [(ip, ports["callers"]) for ip in entry_ips]
        for index, ip in enumerate(ips):
            is_entry = index < self.entry_count
            number = index if is_entry else index - self.entry_count
            zone = ZONES[number % len(ZONES)]
            settings = {
                "node": f"{'edge' if is_entry else 'side'}-{zone}-{number // len(ZONES) + 1}", "ip": ip,
                "failure_domain": zone, "peer_port": ports["peer"], "metrics_port": ports["metrics"],
                "registration": f"{ip}:{ports['registration']}", "seeds": seeds, "store": f"{store[0]}:{store[1]}",
                "lease_ms": 6000, "stop_ms": 400, "revocation_ms": 5000, "awareness_ms": 3000, "heartbeat_ms": 1500,
                "visible_ms": 3000, "status_s": 120, "grace_s": 6, "remote_penalty": 3, "checkpoint_s": 0.5,
                "restore_ms": 100, "link_mbps": 1000.0, "cpu_share": 0.25 if is_entry else 0.15, "cores": 1,
                "leader_ttl_ms": 1000,
            }
            if is_entry:
                settings["callers"] = f"{ip}:{ports['callers']}"
                settings["readiness"] = f"{ip}:{ports['readiness']}"
            self.launch(commands["edge" if is_entry else "side"], settings)
        for number, ip in enumerate(side_ips):
            zone = ZONES[number % len(ZONES)]
            worker = Worker(f"i-{number + 1:08x}", SERVICE, (ip, ports["worker"]), (ip, ports["registration"]), zone,
                            ["a", f"r1-{number // 3 + 1}"], CAPACITY, self.log)
            await worker.start()
            self.workers.append(worker)
        await self.wait_until_ready()

    def launch(self, command, settings):
        path = self.temporary / f"{settings['node']}.json"
        path.write_text(json.dumps(settings))
        output = open(self.temporary / f"{settings['node']}.log", "w")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["RAMPBAY_CONFIG"] = str(path)
        process = subprocess.Popen(command, cwd=ROOT, env=environment, stdout=output, stderr=subprocess.STDOUT)
        self.processes.append((settings["node"], process))

    async def wait_until_ready(self):
        """Waits until every entry says that it is ready, and the minions had time to register."""
        for ip, _ in self.entries:
            for _ in range(150):
                status, _ = await call((ip, self.ports["readiness"]), "GET", "/rampbay/readyz", timeout=1.0)
                if status == 200:
                    break
                await asyncio.sleep(0.1)
            else:
                raise CannotRun("an entry didn't become ready")
        await asyncio.sleep(4.0)
        self.log("all entries are ready")

    def ended_processes(self):
        return [name for name, process in self.processes if process.poll() is not None]

    async def close(self):
        for _, process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
        for _, process in self.processes:
            process.wait()
        self.record.close()
        kept = os.environ.get("KEEP_LOGS")
        if kept:
            shutil.copytree(self.temporary, kept, dirs_exist_ok=True)
        shutil.rmtree(self.temporary, ignore_errors=True)

    async def client(self, entry, method, route, identity, key, body=None, deadline_ms=3000):
        """Makes a client's call and records it. Returns the status, or `None` without an answer."""
        headers = {"host": HOST, "authorization": f"Token {key}", "x-rampbay-deadline-ms": str(deadline_ms)}
        content = b""
        if body is not None:
            headers["content-type"] = "application/json"
            content = json.dumps(body).encode()
        path = route["path_prefix"] + identity
        self.log(f"client: {method} {path} to edge {entry + 1}, {len(content)} bytes")
        status, answered = await call(self.entries[entry], method, path, headers, content, deadline_ms / 1000)
        self.log(f"client: {method} {path} answered {status} {answered[:80].decode('latin-1')}")
        return status, answered

    def runs_of(self, job):
        """Lists the runs of a job that go on now."""
        return [key for worker in self.workers for key in worker.running if key[0].startswith(job + ".")]

    def history_of(self, job):
        """Lists (time, task, attempt, what) of a job at all minions, by time."""
        rows = [row for worker in self.workers for row in worker.history if row[1].startswith(job + ".")]
        return sorted(rows)


def is_free(ip, port):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((ip, port))
            return True
        except OSError:
            return False


def route(name, prefix, priority, skew, target_ms):
    return {"name": name, "host": HOST, "path_prefix": prefix, "type": "unsafe", "timeout_ms": 3000,
            "target_latency_ms": target_ms, "priority": priority, "service": SERVICE, "attempts": 3, "skew": skew,
            "public": False}


def tenant(name, key, guaranteed):
    return {"name": name, "api_keys": [key], "priority": 1, "guaranteed": {"gpu": guaranteed}}


def step(count, cpu, mem_mb, gpu, estimate_ms, **more):
    described = {"count": count, "cpu": cpu, "mem_mb": mem_mb, "gpu": gpu, "estimate_ms": estimate_ms, **more}
    return {name: value for name, value in described.items() if value}


def job(work_ms, steps):
    """A job whose tasks all take the same; the spec tells the minion how long, and what they take of its room."""
    first = steps[0]
    spec = f"{work_ms} {first.get('cpu', 0)} {first.get('mem_mb', 0)} {first.get('gpu', 0)}"
    return {"spec": spec, "steps": steps}


# Exit codes. Python itself ends with 1 after an error, so a broken rule has a code of its own.
HELD, COULD_NOT_RUN, BROKEN = 0, 2, 10


def run(case, site):
    """Runs a case, and ends the process with one of the exit codes."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def whole():
        loop = asyncio.get_running_loop()
        this = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, this.cancel)
        try:
            await site.start()
            broken = await case(site, trouble)
            ended = site.ended_processes()
            if ended:
                site.log(f"processes that ended by themselves: {ended}")
            for text in broken:
                site.log(f"BROKEN: {text}")
            site.log("the rule was broken" if broken else "the rule held")
            return BROKEN if broken else HELD
        except CannotRun as error:
            site.log(f"the case couldn't run: {error}")
            return COULD_NOT_RUN
        except asyncio.CancelledError:
            site.log("the case couldn't run: it was stopped")
            return COULD_NOT_RUN
        finally:
            await site.close()

    try:
        code = asyncio.run(whole())
    except Exception as error:  # noqa: BLE001, whatever failed, the case didn't run
        print(f"the case couldn't run: {error!r}", file=sys.stderr)
        code = COULD_NOT_RUN
    sys.exit(code)
