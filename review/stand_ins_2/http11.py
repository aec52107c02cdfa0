"""A small HTTP/1.1 server and client on asyncio, for the stand-ins."""

import asyncio
import json


class Request:
    """A request that was read completely."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.path, _, query = target.partition("?")
        self.query = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)
        self.headers = headers
        self.body = body

    def json(self):
        """Returns the body as JSON; an empty object if there is none."""
        return json.loads(self.body) if self.body else {}


class Response:
    """An answer; `None` in place of one closes the connection without an answer."""

    def __init__(self, status, value=None, raw=None):
        self.status = status
        self.body = raw if raw is not None else b"" if value is None else json.dumps(value).encode()
        self.content_type = "application/octet-stream" if raw is not None else "application/json"


async def read_head(reader):
    """Reads the first line and the headers; `None` at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Reads a body by its length or in chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return body
    length = int(headers.get("content-length", "0"))
    return await reader.readexactly(length) if length else b""


class Server:
    """A server on one address, which can be stopped and started again."""

    def __init__(self, host, port, handler):
        self.host, self.port, self.handler = host, port, handler
        self.server = None
        self.writers = set()

    async def start(self):
        """Listens."""
        self.server = await asyncio.start_server(
            self.serve, self.host, self.port, limit=1 << 24, reuse_address=True)

    async def stop(self):
        """Closes the listener and resets all connections, as the end of a process does."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        """Answers the requests of one connection."""
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                method, target, _ = head[0].split(" ", 2)
                body = await read_body(reader, head[1])
                # A request that was read is carried out even if its sender has left.
                request = Request(method, target, head[1], body)
                response = await asyncio.shield(asyncio.ensure_future(self.handler(request)))
                if response is None:
                    return
                writer.write((
                    f"HTTP/1.1 {response.status} X\r\nContent-Type: {response.content_type}\r\n"
                    f"Content-Length: {len(response.body)}\r\n\r\n").encode() + response.body)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            return
        finally:
            self.writers.discard(writer)
            writer.transport.abort()


async def call(address, method, target, headers=None, body=b"", timeout=3.0):
    """Makes one call on a connection of its own. Returns status and body; status 0 without an answer."""
    host, port = address
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(host, port, limit=1 << 24)
        lines = {"Host": host, "Content-Length": str(len(body)), "Connection": "close"}
        lines.update(headers or {})
        text = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
        writer.write(f"{method} {target} HTTP/1.1\r\n{text}\r\n".encode() + body)
        await writer.drain()
        head = await read_head(reader)
        if head is None:
            return 0, b""
        return int(head[0].split(" ")[1]), await read_body(reader, head[1])

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return 0, b""
    finally:
        if writer:
            writer.transport.abort()
