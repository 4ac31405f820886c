"""The importer: files in the published forms of Apache's balancer and of mod_jk."""

from __future__ import annotations

import json

import pytest

from stoatrouter.importer import apache, jk
from stoatrouter.importer.__main__ import main
from stoatrouter.importer.members import ImporterError, Member, node_list, select_members
from stoatrouter.net.endpoint_list import read_list

APACHE = r"""
# the derby cluster
Define RACK 127.0.0.1
ProxyPass "/scores" "balancer://scores" stickysession=JSESSIONID
<Proxy "balancer://scores">
    BalancerMember "http://${RACK}:8080" loadfactor=2 route=node1
    BalancerMember http://${RACK}:8081 route=node2 status=+D \
        timeout=5
    balancermember http://[::1]:8082 status=S-S
    ProxySet lbmethod=bytraffic
</Proxy>
BalancerMember balancer://archive https://archive.internal status=+H
BalancerMember balancer://archive ajp://archive.internal route=two status=N
"""
JK = """
# workers
rack=127.0.0.1
worker.list=lb, status
worker.status.type=status
worker.template.type=ajp13
worker.template.host=$(rack)
worker.template.socket_timeout=10
worker.template.lbfactor=3
worker.a.reference=worker.template
worker.a.port=8010
worker.b.reference=worker.template
worker.b.lbfactor=1
worker.b.activation=Disabled
worker.b.route=node-b
worker.c.host=[::1]
worker.c.stopped=True
worker.c.ping_mode=A
worker.lb.type=lb
worker.lb.balance_workers=a
worker.lb.balance_workers=b c
worker.lb.sticky_session=1
"""


def test_apaches_members_are_read():
    found = apache.read(APACHE)
    assert found.balancers == {
        "scores": [
            Member("node1", "http", "127.0.0.1", 8080, 2.0),
            Member("node2", "http", "127.0.0.1", 8081, 1.0, False),
            Member("::1:8082", "http", "::1", 8082),
        ],
        "archive": [
            Member("archive.internal:443", "https", "archive.internal", 443, 1.0, False),
            Member("two", "ajp", "archive.internal", 8009, 1.0, False),
        ],
    }
    notes = " ".join(found.notes)
    assert "timeout" in notes and "lbmethod" in notes and "standby" in notes


def test_mod_jks_workers_are_read():
    found = jk.read(JK)
    assert found.balancers == {
        "lb": [
            Member("a", "ajp", "127.0.0.1", 8010, 3.0),
            Member("node-b", "ajp", "127.0.0.1", 8009, 1.0, False),
            Member("c", "ajp", "::1", 8009, 1.0, False),
        ]
    }
    assert "sticky_session" in " ".join(found.notes) and "ping_mode" in " ".join(found.notes)


def test_a_file_without_a_balancer_gives_its_plain_workers():
    found = jk.read("worker.list=one,jkstatus\nworker.one.port=8011\nworker.jkstatus.type=status\n")
    assert select_members(found, None) == [Member("one", "ajp", "localhost", 8011)]


def test_what_is_imported_is_a_list_that_a_head_reads():
    listed = node_list(select_members(apache.read(APACHE), "scores"))
    message = read_list(listed)
    assert (
        message.complete
        and not message.faults
        and [(n.id, n.address, n.shard, n.phase.value) for n in message.nodes]
        == [
            ("node1", "127.0.0.1:8080", 0, "on"),
            ("node2", "127.0.0.1:8081", 1, "draining"),
            ("::1:8082", "[::1]:8082", 2, "on"),
        ]
    )


@pytest.mark.parametrize(
    ("read", "text", "word"),
    [
        (apache.read, "BalancerMember http://a:1\n", "without a balancer"),
        (apache.read, "BalancerMember balancer://x http://a:99999\n", "line 1"),
        (apache.read, "BalancerMember balancer://x unix:/tmp/s|http://a\n", "no host"),
        (apache.read, "\nBalancerMember balancer://x http://a loadfactor=0\n", "line 2"),
        (apache.read, "BalancerMember balancer://x http://a status=+Q\n", "status"),
        (apache.read, "BalancerMember balancer://x http://a retry\n", "key=value"),
        (apache.read, "BalancerMember balancer://x http://${NONE}\n", "NONE"),
        (apache.read, "<Proxy balancer://x>\n", "ends inside"),
        (apache.read, "</Proxy>\n", "without <Proxy>"),
        (jk.read, "worker.lb.type=lb\nworker.lb.balance_workers=a\n", "not defined"),
        (jk.read, "worker.lb.type=lb\nworker.lb.balance_workers=a\nworker.a.type=lb\n", "type"),
        (jk.read, "worker.list=a\nworker.a.port=x\n", "port"),
        (jk.read, "worker.list=a\nworker.a.activation=Q\n", "activation"),
        (jk.read, "worker.list=a\nworker.a.reference=worker.b\nworker.b.reference=worker.a\n", "cycle"),
        (jk.read, "nonsense\n", "line 1"),
    ],
)
def test_what_cannot_be_taken_over_is_said_in_one_line(read, text, word):
    with pytest.raises(ImporterError, match=word):
        read(text)


@pytest.mark.parametrize(
    ("form", "text", "more", "code", "word"),
    [
        ("jk", JK, ["--http-port", "8080"], 0, "sticky_session"),
        ("jk", JK, [], 2, "--http-port"),
        ("apache", APACHE, [], 2, "which balancer"),
        ("apache", APACHE, ["--balancer", "scores"], 0, "lbmethod"),
        ("apache", APACHE, ["--balancer", "archive"], 2, "https"),
        ("apache", "", [], 2, "none"),
    ],
)
def test_the_command(tmp_path, capsys, form, text, more, code, word):
    file = tmp_path / "conf"
    file.write_text(text)
    assert main([form, str(file), *more]) == code
    out, said = capsys.readouterr()
    assert word in said and "Traceback" not in said
    assert (json.loads(out)["reset"] is True) if code == 0 else out == ""


def test_two_members_of_one_name_are_not_taken_over():
    with pytest.raises(ImporterError, match="two members"):
        node_list([Member("a", "http", "h", 1), Member("a", "http", "h", 2)])
