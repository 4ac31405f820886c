"""System calls that fail for a moment: what waits is served all the same, and a head goes on."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import os
import socket
from datetime import timedelta

import pytest

from stoatrouter.core.model import AdministrativeState
from stoatrouter.net import acceptor
from stoatrouter.net.bodies import BodyCapacity, StoredBody
from stoatrouter.net.errors import NoCapacity
from stoatrouter.net.handover_socket import PROTOCOL_VERSION, HandoverSocket, write_line
from stoatrouter.net.listener import Listener
from stoatrouter.net.state_file import AdministrativeStateFile
from stoatrouter.policy.interface import Outcome
from tests.addresses import free_port
from tests.peers import HOST, Node, nodes_up, run
from tests.platform_client import attempt, client, started
from tests.test_clients import GOOD, exchange

OF_ONE_CONNECTION = [errno.ECONNABORTED, errno.EPROTO, errno.ENETUNREACH, errno.EHOSTUNREACH, errno.ETIMEDOUT]
SHORTAGES = [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM]
LAST = GOOD.replace(b"Host: h", b"Host: h\r\nConnection: close")


class FailingSocket:
    """A listening socket of which some accepts fail."""

    def __init__(self, listening_socket: socket.socket, failures: list[int]) -> None:
        self.listening_socket, self.failures = listening_socket, failures

    def accept(self):
        if self.failures:
            number = self.failures.pop()
            raise OSError(number, os.strerror(number))
        return self.listening_socket.accept()

    def __getattr__(self, name):
        return getattr(self.listening_socket, name)


@pytest.mark.parametrize("number", OF_ONE_CONNECTION + SHORTAGES, ids=errno.errorcode.get)
def test_an_accept_that_fails_keeps_no_other_connection_waiting(monkeypatch, number):
    monkeypatch.setattr(acceptor, "SHORTAGE_PAUSE", timedelta(0))

    async def scenario():
        async with started(Node("a", 0)) as (head, _):
            accepting = head.platform.acceptor
            accepting.listening_socket = FailingSocket(accepting.listening_socket, [number] * 3)
            requests = [LAST.replace(b"Req-Id: ", b"Req-Id: %d" % number) for number in range(5)]
            answers = await asyncio.gather(*(exchange(head, request) for request in requests))
            assert all(answer.startswith(b"HTTP/1.1 200") for answer in answers)
            assert not accepting.listening_socket.failures

    run(scenario(), limit=5)


@pytest.mark.parametrize("number", OF_ONE_CONNECTION + SHORTAGES, ids=errno.errorcode.get)
def test_a_new_process_is_accepted_though_an_accept_fails(tmp_path, monkeypatch, number):
    # Guards against a takeover that waits for 1 s, and a traceback in the log.
    monkeypatch.setattr(acceptor, "SHORTAGE_PAUSE", timedelta(0))

    async def hand_over(reader, writer):
        await reader.readline()
        write_line(writer, {"v": PROTOCOL_VERSION})

    async def scenario():
        old, new = HandoverSocket(str(tmp_path)), HandoverSocket(str(tmp_path))
        await old.listen(hand_over)
        old.acceptor.listening_socket = FailingSocket(old.acceptor.listening_socket, [number] * 3)
        predecessor = await new.take_over()
        assert predecessor.take_state() == {"v": PROTOCOL_VERSION}
        assert not old.acceptor.listening_socket.failures
        predecessor.writer.close()
        await old.close()

    run(scenario(), limit=5)


@pytest.mark.parametrize("number", OF_ONE_CONNECTION + SHORTAGES, ids=errno.errorcode.get)
def test_connections_that_wait_as_a_front_stops_are_served_though_an_accept_fails(number):
    async def scenario():
        async with started(Node("a", 0)) as (head, _):
            accepting = head.platform.acceptor
            accepting.stop()  # so that connections wait
            waiting = [await asyncio.open_connection(HOST, head.platform.port) for _ in range(3)]
            accepting.listening_socket = FailingSocket(accepting.listening_socket, [number] * 2)
            head.platform.stop_accepting()
            for number_of_request, (reader, writer) in enumerate(waiting):
                writer.write(LAST.replace(b"Req-Id: ", b"Req-Id: %d" % number_of_request))
                assert (await reader.read()).startswith(b"HTTP/1.1 200")
                writer.close()

    run(scenario(), limit=5)


def test_an_address_that_is_held_for_a_moment_is_listened_on_once_it_is_free():
    async def scenario():
        port = free_port()
        async with started(Node("a", 0)) as (head, _):
            with contextlib.closing(socket.create_server((HOST, port))):
                listener = Listener(head.platform.server.request_handler, head.drain)
                starting = asyncio.create_task(listener.start(HOST, port))
                await asyncio.sleep(0.05)
                assert not starting.done()
            await starting
            assert listener.port == port
            listener.stop_accepting()

    run(scenario(), limit=5)


CONNECT_ERRORS = [
    errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.EHOSTUNREACH, errno.ETIMEDOUT, errno.ENOBUFS, errno.ENFILE,
]  # fmt: skip


@pytest.mark.parametrize("number", CONNECT_ERRORS, ids=errno.errorcode.get)
@pytest.mark.parametrize("call", ["connect", "socket"])
def test_a_connection_to_a_node_that_cannot_be_made_never_ran_and_the_next_attempt_is_served(
    monkeypatch, number, call
):
    async def scenario():
        async with nodes_up(Node("a", 0)) as (node,), client() as nodes:
            effect = attempt(f"{HOST}:{node.port}")
            failures = [number]

            def fail(original):
                def failing(*arguments, **more):
                    if failures:
                        raise OSError(failures.pop(), "injected")
                    return original(*arguments, **more)

                return failing

            loop = asyncio.get_running_loop()
            if call == "connect":
                monkeypatch.setattr(loop, "sock_connect", fail(loop.sock_connect))
            else:
                monkeypatch.setattr("aiohappyeyeballs.impl.socket.socket", fail(socket.socket))
            assert (await nodes.attempt(effect)).outcome is Outcome.CONNECT_FAILED
            monkeypatch.undo()
            assert (await nodes.attempt(effect)).outcome is Outcome.OK

    run(scenario(), limit=5)


@pytest.mark.parametrize("number", [errno.ENOSPC, errno.EIO], ids=errno.errorcode.get)
def test_a_file_that_cannot_be_written_keeps_the_old_state_and_refuses_a_body(monkeypatch, tmp_path, number):
    state_file = AdministrativeStateFile(str(tmp_path))
    state = AdministrativeState({"n0": timedelta(seconds=5)})
    assert state_file.write(state)

    def fail(*arguments):
        raise OSError(number, os.strerror(number))

    monkeypatch.setattr("stoatrouter.net.state_file.os.replace", fail)
    assert not state_file.write(AdministrativeState())
    monkeypatch.undo()
    assert state_file.read() == state
    body = StoredBody(BodyCapacity(100, str(tmp_path)))
    body.file = type("File", (), {"write": staticmethod(fail), "closed": True})()
    with pytest.raises(NoCapacity):
        body.write(b"x")
