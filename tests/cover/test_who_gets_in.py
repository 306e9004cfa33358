"""Authentication: keys, certificates, and that no secret is logged."""

import json
import logging
import ssl

import gevent
import pytest

import dandeliontrail
from dandeliontrail_lab import client
from dandeliontrail_node import instance
from dandeliontrail_node import jsonlog
from dandeliontrail_node import settings
from dandeliontrail_node import tokens

from tests.common import certificates
from tests.common import world


def presented_certificate(address):
    """Return the certificate that a listener presents now."""
    host, port = address.split(":")
    return ssl.get_server_certificate((host, int(port)))


def first_certificate(pem):
    return pem.split("-----END CERTIFICATE-----")[0].split()


def test_certificate_is_replaced_without_a_restart(tmp_path):
    # A certificate is about to expire.  It is replaced and SIGHUP is sent; an
    # invalid file must not stop the listener.
    pem = tmp_path / "callers.pem"
    pem.write_text(certificates.FIRST)
    cfg = world.make_settings("i1")
    cfg.bootstrap_keepers = []
    cfg.tls = {"callers": settings.Tls(str(pem), str(pem))}
    with instance.Instance(cfg, logging.getLogger("test.tls")) as running:
        address = running.addresses["callers"]
        presented = presented_certificate(address)
        assert first_certificate(presented) == first_certificate(
            certificates.FIRST
        )
        pem.write_text("no certificate")
        running.reload()
        presented = presented_certificate(address)
        assert first_certificate(presented) == first_certificate(
            certificates.FIRST
        )
        pem.write_text(certificates.SECOND)
        running.reload()
        presented = presented_certificate(address)
        assert first_certificate(presented) == first_certificate(
            certificates.SECOND
        )


def test_certificate_that_cannot_be_read_is_a_settings_error(tmp_path):
    cfg = world.make_settings("i1")
    missing = str(tmp_path / "missing.pem")
    cfg.tls = {"callers": settings.Tls(missing, missing)}
    with pytest.raises(dandeliontrail.SettingsError, match="tls.callers"):
        instance.Instance(cfg, logging.getLogger("test.tls"))


def test_empty_peer_key_is_a_settings_error(tmp_path):
    # An empty key file, left by an operator's template, let every peer in.
    path = tmp_path / "peer.key"
    path.write_text("\n")
    with pytest.raises(dandeliontrail.SettingsError, match="empty"):
        tokens.PeerKey(str(path))


def test_signature_that_is_not_ascii_is_refused():
    key = tokens.PeerKey("")
    key._key = b"secret"
    assert not key.verify(b"body", "\xe9\xe9")


def test_no_key_and_no_prompt_is_logged(capfd):
    # Readers of logs may see neither the keys nor the prompts of callers.
    logger = jsonlog.make_logger("test.secrets", "debug", "i1")
    with world.World() as deployment:
        served_by = deployment.instance("i1")
        served_by._logger = logger
        served_by.host.logger = logger
        deployment.engine("e1", step=0.01)
        deployment.apply({"lookup": {"priority": 0}})
        address = served_by.addresses["callers"]
        prompt = "furan in transformer seven"
        for key in (world.KEY, "a-wrong-key"):
            ask = client.Ask(address, key, "", prompt, max_tokens=3)
            client.send(ask)
        job = gevent.spawn(client.send, ask)
        job.kill()
    lines = capfd.readouterr().err
    assert json.loads(lines.splitlines()[0])["instance"] == "i1"
    for secret in (world.KEY, "a-wrong-key", "furan", "transformer"):
        assert secret not in lines
