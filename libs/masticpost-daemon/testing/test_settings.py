"""Settings are merged from flags and environment; all mistakes are reported."""

import pytest
from masticpost_common import findings
from masticpost_daemon import settings

GOOD = [
    "--name=entry-0",
    "--domain=north",
    "--listen=127.0.0.1:8080",
    "--peer-listen=127.0.0.1:8081",
    "--store-url=http://127.0.0.1:9000",
]
ENV = {"MASTICPOST_PEER_KEYS": "a-long-enough-key-1,a-long-enough-key-2"}


def test_flags_and_environment_are_merged():
    cfg = settings.load(GOOD, {**ENV, "MASTICPOST_NAME": "other"})
    assert cfg.name == "entry-0"
    assert cfg.peer_keys == ("a-long-enough-key-1", "a-long-enough-key-2")
    assert cfg.instances_url == cfg.store_url
    assert str(cfg.peer_advertise) == "127.0.0.1:8081"
    assert cfg.memory_bytes == 512 * 2**20


def test_every_mistake_is_reported():
    argv = ["--name=Entry 0", "--listen=here", "--shards=0", "--log-level=loud"]
    with pytest.raises(findings.FindingsError) as caught:
        settings.load(argv, {})
    sources = {f.place.source for f in caught.value.findings}
    assert sources >= {
        "--name",
        "--domain",
        "--listen",
        "--peer-listen",
        "--store-url",
        "--peer-keys",
        "--shards",
        "--log-level",
    }


def test_tls_certificate_without_key_is_rejected(tmp_path):
    cert = tmp_path / "cert.pem"
    cert.write_text("x")
    with pytest.raises(findings.FindingsError, match="give both or none"):
        settings.load([*GOOD, f"--tls-cert={cert}"], ENV)


def test_repr_does_not_contain_secrets():
    cfg = settings.load([*GOOD, "--admin-key=very-secret"], ENV)
    assert "secret" not in repr(cfg)
    assert "long-enough" not in repr(cfg)
