"""A small HTTP/1.1 server and client for the stand-ins: Content-Length bodies and keep-alive only."""

import asyncio


class Request:
    """A request that was read whole."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.path, _, self.query_text = target.partition("?")
        self.headers = headers
        self.body = body

    def query(self, name, default=None):
        """Returns a value of the query, or `default`."""
        for pair in self.query_text.split("&"):
            key, _, value = pair.partition("=")
            if key == name:
                return value
        return default


async def read_message(reader):
    """Reads the first line, the headers and the body; `None` at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return lines[0], headers, body


def render(status, body=b"", content_type="application/json"):
    """Returns the bytes of a response."""
    head = f"HTTP/1.1 {status} X\r\ncontent-length: {len(body)}\r\n"
    if body:
        head += f"content-type: {content_type}\r\n"
    return head.encode() + b"\r\n" + body


async def serve(address, handler):
    """Serves `address`, an (IP, port) pair. `handler` returns the bytes of a response, or `None` to stay silent."""

    async def connection(reader, writer):
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                answer = await handler(Request(method, target, headers, body))
                if answer is None:
                    # Once an answer is lost on a connection, the connection says nothing more.
                    await reader.read()
                    return
                writer.write(answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, ValueError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connection, *address, limit=1 << 22)


async def call(address, method, path, headers=None, body=b"", timeout=3.0):
    """Makes one call on a connection of its own. Returns (status, body), or (None, b"") without an answer."""

    async def exchange():
        reader, writer = await asyncio.open_connection(*address)
        try:
            lines = [f"{method} {path} HTTP/1.1", f"content-length: {len(body)}"]
            lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await writer.drain()
            line, _, answer = await read_message(reader)
            return int(line.split(" ")[1]), answer
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None, b""
