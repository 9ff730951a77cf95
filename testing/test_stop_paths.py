"""Paths on which a product daemon's connections end in a planned stop."""

import asyncio
import json
import signal
import socket

import pytest
from masticpost_bench import deployment, layout

WAIT_S = 8.0


def chat(plan, words=2):
    body = json.dumps(
        {
            "model": "setup",
            "messages": [{"role": "user", "content": f"hello [len={words}]"}],
        }
    ).encode()
    lines = [
        "POST /v1/chat/completions HTTP/1.1",
        "Host: a",
        f"Authorization: Bearer {plan.customers[0].key}",
        f"Content-Length: {len(body)}",
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def connect(daemon):
    sock = socket.create_connection((host_of(daemon), daemon.port))
    sock.setblocking(False)
    return sock


def host_of(daemon):
    return daemon.url.partition("://")[2].partition(":")[0]


async def read(sock):
    loop = asyncio.get_running_loop()
    return await asyncio.wait_for(loop.sock_recv(sock, 65_536), WAIT_S)


async def read_all(sock):
    received = b""
    while data := await read(sock):
        received += data
    return received


# Guards against the second of two requests in one packet being dropped as the
# listener closes.
async def test_requests_in_one_packet_are_all_answered_in_a_stop():
    plan = layout.small(instances=2)
    async with deployment.Deployment(plan=plan) as dep:
        for spec in plan.engines:
            await dep.set_faults(spec.name, delay_s=1.0)
        daemon = dep.daemons["entry-0"]
        sock = connect(daemon)
        sock.send(chat(plan) * 2)
        await asyncio.sleep(0.3)
        daemon.proc.send_signal(signal.SIGTERM)
        received = await read_all(sock)
        assert received.count(b"HTTP/1.1 ") == 2
        assert await daemon.proc.wait() == 0


# Guards against connections closed with a request unread, when the process did not run
# for a while as its listener closed.
@pytest.mark.parametrize("began_s", [0.3, 0.45])
async def test_request_that_comes_while_the_process_does_not_run_is_answered(began_s):
    plan = layout.small(instances=2)
    async with deployment.Deployment(plan=plan) as dep:
        daemon = dep.daemons["entry-0"]
        sock = connect(daemon)
        sock.send(chat(plan))
        assert b" 200 " in (await read(sock))[:20]
        daemon.proc.send_signal(signal.SIGTERM)
        await asyncio.sleep(began_s)
        daemon.proc.send_signal(signal.SIGSTOP)
        sock.send(chat(plan))
        await asyncio.sleep(0.6)
        daemon.proc.send_signal(signal.SIGCONT)
        assert (await read(sock))[9:12] in (b"200", b"503")
        assert await daemon.proc.wait() == 0
