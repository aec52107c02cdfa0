"""A stand-in for the platform's store, as PROTOCOL.md describes it."""

import asyncio
import base64
import json
import struct
import time
import urllib.parse

from http11 import render, serve

CALL_S = 0.004
APPEND_S = 0.004
RECORD_BYTES = 262_144
CALL_BYTES = 2_097_152
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
REMEMBERED_APPENDS = 5


class Topic:
    """Partition 0 of a topic."""

    def __init__(self):
        self.records = []
        self.producers = {}
        self.lock = asyncio.Lock()


class Group:
    """A group whose members share partition 0 of one topic."""

    def __init__(self):
        self.members = {}
        self.owner = None
        self.generation = 0

    def expire(self, now):
        gone = [name for name, until in self.members.items() if until < now]
        for name in gone:
            del self.members[name]
        if self.owner is not None and self.owner not in self.members:
            self.owner = None
            self.generation += 1

    def join(self, member, ttl_s):
        now = time.monotonic()
        self.expire(now)
        if member not in self.members:
            self.generation += 1
        self.members[member] = now + ttl_s
        if self.owner is None:
            self.owner = member
        return self.generation, self.owner == member

    def leave(self, member):
        self.members.pop(member, None)
        self.expire(time.monotonic())


def split_records(body):
    """Returns the raw records of an append; `None` if the body is malformed."""
    records, position = [], 0
    while position < len(body):
        if position + 4 > len(body):
            return None
        (length,) = struct.unpack_from(">I", body, position)
        record = body[position + 4 : position + 4 + length]
        if len(record) != length:
            return None
        records.append(record)
        position += 4 + length
    return records


def key_value(record):
    """Returns key and value of a record in a topic `keyed.*`."""
    length = record[0]
    return record[1 : 1 + length].decode("utf-8", "replace"), record[1 + length :]


def answer(status, document):
    return render(status, json.dumps(document).encode())


class Store:
    """The store."""

    def __init__(self, log):
        self.log = log
        self.topics = {}
        self.groups = {}
        self.appended = asyncio.Condition()
        # While the store is down, calls get no answer and nothing is done.
        self.is_down = False
        self.unanswered = 0
        self.refused_for_size = 0
        self.appends = 0

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def put(self, topic, key, value):
        """Writes a record as the operator does."""
        key = key.encode()
        self.topic(topic).records.append(bytes([len(key)]) + key + value)

    async def start(self, address):
        self.server = await serve(address, self.handle)

    async def handle(self, request):
        await asyncio.sleep(CALL_S)
        if self.is_down:
            self.unanswered += 1
            return None
        path = request.path
        if path == "/rampbay/log-append":
            return await self.append(request)
        if path == "/rampbay/log-read":
            return await self.read(request)
        if path == "/rampbay/log-newest":
            return self.newest(request)
        document = json.loads(request.body or b"{}")
        if path == "/rampbay/log-join":
            group = self.groups.setdefault(document["group"], Group())
            generation, holds = group.join(document["member"], max(document["ttl_ms"], 1000) / 1000)
            parts = [[document["topics"][0], 0, 0]] if holds else []
            return answer(200, {"generation": generation, "ttl_ms": document["ttl_ms"], "parts": parts})
        if path == "/rampbay/log-leave":
            self.groups.setdefault(document["group"], Group()).leave(document["member"])
            return answer(200, {})
        if path == "/rampbay/log-owners":
            group = self.groups.get(request.query("group"))
            if group is None:
                return answer(200, {"parts": []})
            group.expire(time.monotonic())
            rows = [["keyed.rampbay", 0, group.owner, 0]] if group.owner else []
            return answer(200, {"parts": rows})
        return render(404)

    async def append(self, request):
        topic = request.query("topic")
        records = split_records(request.body)
        if records is None:
            return answer(400, {})
        self.appends += 1
        too_large = len(request.body) > CALL_BYTES or any(len(r) > RECORD_BYTES for r in records)
        if too_large:
            self.refused_for_size += 1
            largest = max(records, key=len)
            if self.refused_for_size in (1, 2, 3) or self.refused_for_size % 100 == 0:
                self.log(
                    f"store: append refused, largest record has {len(largest)} bytes of {RECORD_BYTES} allowed, "
                    f"key {key_value(largest)[0]} (refusal {self.refused_for_size})"
                )
            return answer(413, {})
        return await self.append_now(topic, records, request)

    async def append_now(self, name, records, request):
        topic = self.topic(name)
        async with topic.lock:
            await asyncio.sleep(APPEND_S)
            producer = request.query("producer")
            if producer is not None:
                epoch, seq = int(request.query("epoch")), int(request.query("seq"))
                known = topic.producers.get(producer)
                if known and epoch < known["epoch"]:
                    return answer(409, {"reason": "fenced"})
                if known and epoch == known["epoch"]:
                    for old_seq, first_answer in known["latest"]:
                        if old_seq == seq:
                            return answer(200, first_answer)
                    wanted = known["latest"][-1][0] + 1
                    if seq != wanted:
                        return answer(409, {"reason": "seq", "seq": wanted})
            offset = len(topic.records)
            topic.records.extend(records)
            document = {"offset": offset, "end": len(topic.records)}
            if producer is not None:
                if not known or epoch > known["epoch"]:
                    known = topic.producers[producer] = {"epoch": epoch, "latest": []}
                known["latest"] = known["latest"][-(REMEMBERED_APPENDS - 1) :] + [(seq, document)]
        async with self.appended:
            self.appended.notify_all()
        return answer(200, document)

    async def read(self, request):
        topic = self.topic(request.query("topic"))
        start = int(request.query("from", "0"))
        most = int(request.query("max_kb", "1024")) * 1000
        until = time.monotonic() + int(request.query("wait_ms", "0")) / 1000
        while len(topic.records) <= start and time.monotonic() < until:
            try:
                async with self.appended:
                    await asyncio.wait_for(self.appended.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                pass
        if self.is_down:
            self.unanswered += 1
            return None
        body = struct.pack(">QQ", len(topic.records), 0)
        size = 0
        for record in topic.records[start:]:
            if size and size + len(record) > most:
                break
            size += len(record)
            body += struct.pack(">I", len(record)) + record
        return render(200, body, "application/octet-stream")

    def newest(self, request):
        topic = self.topic(request.query("topic"))
        after = urllib.parse.unquote(request.query("depends_on", ""))
        newest = {}
        for offset, record in enumerate(topic.records):
            key, value = key_value(record)
            newest[key] = (value, offset)
        items, size, more = [], 0, False
        for key in sorted(newest):
            value, offset = newest[key]
            if key <= after or not value:
                continue
            if len(items) == PAGE_ITEMS or size > PAGE_BYTES:
                more = True
                break
            size += len(value)
            items.append({"key": key, "value": base64.b64encode(value).decode(), "offset": offset})
        return answer(200, {"items": items, "more": more, "end": len(topic.records)})
