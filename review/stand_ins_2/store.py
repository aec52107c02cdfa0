"""A stand-in for the platform's store: keyed logs and groups, as PROTOCOL.md describes them."""

import asyncio
import base64
import struct
import time
import urllib.parse

from http11 import Response, Server

CALL_S = 0.004
APPEND_S = 0.004
MAX_QUEUE_S = 2.0
PARTS = 8
PAGE_ITEMS = 500
PAGE_BYTES = 1 << 20
RECORD_BYTES = 262144
CALL_BYTES = 2097152
OPERATOR_TOPICS = ("keyed.op", "keyed.servers")


class Log:
    """One partition of a topic."""

    def __init__(self):
        self.records, self.first = [], 0
        self.writers = {}
        self.lock = asyncio.Lock()
        self.waiting = 0
        self.changed = asyncio.Event()

    @property
    def end(self):
        return self.first + len(self.records)

    def add(self, records):
        """Appends records and wakes the readers."""
        offset = self.end
        self.records.extend(records)
        self.changed.set()
        self.changed = asyncio.Event()
        return offset


def key_and_value(record):
    """Splits a keyed record."""
    length = record[0]
    return record[1:1 + length], record[1 + length:]


class Group:
    """A group whose members share the partitions of its topics."""

    def __init__(self):
        self.generation, self.members, self.owners = 0, {}, {}
        # By partition, the generation at which its owner got it; by topic and partition, the committed offset.
        self.held_since, self.offsets = {}, {}

    def expire(self):
        """Drops members that were silent for their time to live."""
        now = time.monotonic()
        gone = [name for name, member in self.members.items() if now - member[0] > member[1]]
        for name in gone:
            self.remove(name)

    def remove(self, name):
        """Drops a member."""
        if self.members.pop(name, None) is not None:
            self.owners = {part: owner for part, owner in self.owners.items() if owner != name}
            self.generation += 1

    def wanted(self):
        """Deals the partitions out evenly."""
        names = sorted(self.members)
        return {part: names[part % len(names)] for part in range(PARTS)} if names else {}

    def join(self, name, ttl_s, generation):
        """Adds or renews a member, and returns the partitions that it holds."""
        self.expire()
        if name not in self.members:
            self.generation += 1
        self.members[name] = (time.monotonic(), ttl_s)
        wanted = self.wanted()
        for part, owner in wanted.items():
            holder = self.owners.get(part)
            # A holder gives a partition up once it has heard of the generation.
            if holder is None or (holder == name != owner and generation >= self.generation):
                self.owners[part] = owner
                self.held_since[part] = self.generation
        return [part for part, owner in wanted.items() if owner == name == self.owners.get(part)]


class Store:
    """The store."""

    def __init__(self, host, port):
        self.logs, self.groups, self.too_large = {}, {}, 0
        self.server = Server(host, port, self.answer)
        self.address = (host, port)

    def log(self, topic, part=0):
        return self.logs.setdefault((topic, part), Log())

    def put(self, topic, key, value):
        """Writes a record as the operator does."""
        name = key.encode()
        self.log(topic).add([bytes([len(name)]) + name + value])

    async def answer(self, request):
        await asyncio.sleep(CALL_S)
        handler = {
            "/rampbay/log-append": self.append, "/rampbay/log-read": self.read,
            "/rampbay/log-newest": self.newest, "/rampbay/log-join": self.join,
            "/rampbay/log-leave": self.leave, "/rampbay/log-owners": self.list_owners,
            "/rampbay/log-commit": self.commit, "/rampbay/log-trim": self.trim,
        }.get(request.path)
        return await handler(request) if handler else Response(404)

    async def append(self, request):
        topic, part = request.query["topic"], int(request.query.get("part", 0))
        if topic in OPERATOR_TOPICS:
            return Response(403)
        records, body = [], request.body
        while body:
            length = struct.unpack(">I", body[:4])[0]
            records.append(body[4:4 + length])
            body = body[4 + length:]
        if len(request.body) > CALL_BYTES or any(len(r) > RECORD_BYTES for r in records):
            self.too_large += 1
            return Response(413)
        log = self.log(topic, part)
        if log.waiting * APPEND_S > MAX_QUEUE_S:
            return Response(503)
        log.waiting += 1
        try:
            async with log.lock:
                await asyncio.sleep(APPEND_S)
                return self.append_now(log, request.query, records)
        finally:
            log.waiting -= 1

    def append_now(self, log, query, records):
        """Appends in the partition's turn, under a producer's epoch and sequence if it names them."""
        if "at" in query and int(query["at"]) != log.end:
            return Response(412, {"end": log.end})
        producer = query.get("producer")
        if producer is not None:
            epoch, sequence = int(query["epoch"]), int(query["seq"])
            known = log.writers.get(producer)
            if known and epoch < known["epoch"]:
                return Response(409, {"reason": "fenced"})
            if known and epoch == known["epoch"]:
                for made in known["latest"]:
                    if made[0] == sequence:
                        return Response(200, {"offset": made[1], "end": made[2]})
                wanted = known["latest"][-1][0] + 1
                if sequence != wanted:
                    return Response(409, {"reason": "seq", "seq": wanted})
            else:
                log.writers[producer] = {"epoch": epoch, "latest": []}
        offset = log.add(records)
        if producer is not None:
            latest = log.writers[producer]["latest"]
            latest.append((sequence, offset, log.end))
            del latest[:-5]
        return Response(200, {"offset": offset, "end": log.end})

    async def read(self, request):
        query = request.query
        log = self.log(query["topic"], int(query.get("part", 0)))
        start = int(query["from"])
        most = int(query.get("max_kb", 1024)) * 1000
        until = time.monotonic() + min(int(query.get("wait_ms", 0)), 30000) / 1000
        while True:
            if start < log.first:
                return Response(410, {"first": log.first})
            records, size = [], 0
            for record in log.records[start - log.first:]:
                if records and size + len(record) > most:
                    break
                records.append(struct.pack(">I", len(record)) + record)
                size += len(record)
            left = until - time.monotonic()
            if records or left <= 0:
                return Response(200, raw=struct.pack(">QQ", log.end, log.first) + b"".join(records))
            try:
                await asyncio.wait_for(log.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def newest_values(self, topic):
        """Returns the newest value of each key with its offset."""
        log, newest = self.log(topic), {}
        for index, record in enumerate(log.records):
            key, value = key_and_value(record)
            newest[key] = (value, log.first + index)
        return {key: found for key, found in newest.items() if found[0]}

    async def newest(self, request):
        topic = request.query["topic"]
        after = urllib.parse.unquote(request.query.get("depends_on", "")).encode()
        newest = self.newest_values(topic)
        items, size, more = [], 0, False
        for key in sorted(key for key in newest if key > after):
            value, offset = newest[key]
            if len(items) == PAGE_ITEMS or (items and size + len(value) > PAGE_BYTES):
                more = True
                break
            size += len(value)
            items.append({"key": key.decode("utf-8", "replace"),
                          "value": base64.b64encode(value).decode(), "offset": offset})
        return Response(200, {"items": items, "more": more, "end": self.log(topic).end})

    async def join(self, request):
        body = request.json()
        group = self.groups.setdefault(body["group"], Group())
        held = group.join(body["member"], body["ttl_ms"] / 1000, body.get("generation", 0))
        rows = [[topic, part, group.offsets.get((topic, part), 0)] for topic in body["topics"] for part in held]
        return Response(200, {"generation": group.generation, "parts": rows})

    async def leave(self, request):
        body = request.json()
        group = self.groups.setdefault(body["group"], Group())
        group.remove(body["member"])
        return Response(200, {})

    async def commit(self, request):
        body = request.json()
        group, part = self.groups.setdefault(body["group"], Group()), body["part"]
        group.expire()
        if group.owners.get(part) != body["member"] or body["generation"] < group.held_since[part]:
            return Response(409)
        group.offsets[(body["topic"], part)] = body["offset"]
        return Response(200, {})

    async def trim(self, request):
        return Response(200, {})  # Keeps all records, as nothing has to be dropped at once.

    async def list_owners(self, request):
        group = self.groups.setdefault(request.query["group"], Group())
        group.expire()
        topics = sorted({topic for topic, _ in group.offsets}) or ["keyed.rampbay"]
        rows = [[topic, part, owner, group.offsets.get((topic, part), 0)]
                for topic in topics for part, owner in sorted(group.owners.items())]
        return Response(200, {"parts": rows})
