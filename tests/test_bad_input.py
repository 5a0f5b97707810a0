"""Requests that are malformed, too large or forged get clear errors."""

import asyncio

from tests.proxied_node import call, start_proxied_node


async def send(node, data):
    """Sends raw bytes and gives the status line with the rest of the answer."""
    ip, port = node.call_address.split(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    writer.write(data)
    answer = await asyncio.wait_for(reader.read(2000), 3)
    writer.close()
    return answer


def head(method, *lines):
    text = "\r\n".join([f"{method} /a HTTP/1.1", "Host: parts", *lines, "", ""])
    return text.encode("latin-1")


def test_bad_requests_get_clear_errors():
    """Guards against hangs, smuggled requests and answers without a status."""

    async def scenario():
        async with start_proxied_node() as (graph, node, origin, _):
            cases = [
                (b"NONSENSE\r\n\r\n", b" 400 "),
                (head("POST", "Content-Length: 5", "Content-Length: 6"), b" 400 "),
                (head("POST", "Content-Length: \xb2"), b" 400 "),
                (
                    head("POST", "Content-Length: 5", "Transfer-Encoding: chunked"),
                    b" 400 ",
                ),
                (head("POST", "Transfer-Encoding: gzip"), b" 400 "),
                (head("POST", "Content-Length: 99999999999"), b" 413 "),
                (head("GET", "X-Large: " + "x" * 40_000), b" 431 "),
                (head("GET", "Figpick-Deadline-Ms: soon"), b" 400 "),
            ]
            for data, status in cases:
                assert status in (await send(node, data)).partition(b"\r\n")[0]
            assert not origin.executions
            answer = await call(graph, node, "GET", "/a")
            assert answer.status == 200

    asyncio.run(scenario())


def test_refused_upload_gets_its_answer():
    """Guards against a reset that destroys the refusal of a large body."""

    async def scenario():
        async with start_proxied_node(body_bytes=100_000) as (graph, node, origin, _):
            answer = await call(graph, node, "PUT", "/a", body=b"x" * 1_000_000)
            assert answer.status == 413
            assert answer.outcome == "not-run"
            assert not origin.executions

    asyncio.run(scenario())


def test_forged_headers_raise_nothing():
    """Guards against callers that give themselves importance or time."""

    async def scenario():
        async with start_proxied_node() as (graph, node, _, _):
            plans = []
            make_plan = node.node.plan

            def plan(start_line, headers):
                plans.append(make_plan(start_line, headers))
                return plans[-1]

            node.node.plan = plan
            context = "a;b;c;9;9999;9999999999999;1;127.0.0.1:1"
            for value in (f"{context};00", f"{context};\xe9", "", ";;;;;;;;"):
                headers = {
                    "Figpick-Context": value,
                    "Figpick-Deadline-Ms": "999999999",
                    "Figpick-Importance": "9",
                }
                answer = await call(graph, node, "GET", "/a", headers)
                assert answer.status == 200
            assert all(each.parent is None for each in plans)
            assert {each.context.importance for each in plans} == {5}
            limit = node.node.clock.monotonic() + 10
            assert all(each.deadline <= limit for each in plans)

    asyncio.run(scenario())


def test_chunked_body_of_any_method_stays_framed():
    """Guards against a body that the upstream reads as another request."""

    async def scenario():
        async with start_proxied_node() as (graph, node, origin, _):
            inner = b"GET /b HTTP/1.1\r\nX-Request: inner\r\n\r\n"
            body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(inner), inner)
            data = head("DELETE", "Transfer-Encoding: chunked", "X-Request: outer")
            assert b" 200 " in await send(node, data + body)
            await call(graph, node, "GET", "/c")
            assert origin.executions["outer"] == 1
            assert "inner" not in origin.executions

    asyncio.run(scenario())
