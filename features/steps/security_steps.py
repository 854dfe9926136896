"""Steps about certificates, keys and roles."""

import asyncio
import datetime
import ipaddress
import json
import ssl
import tempfile
from pathlib import Path

from behave import given, then, when
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID
from tornado.httpclient import AsyncHTTPClient
from tornado.iostream import StreamClosedError
from tornado.tcpclient import TCPClient
from wasabilb_core.tickets import Variant
from wasabilb_node.links import Identity, LinkManager
from wasabilb_standins.fleet import FleetShape, LocalFleet, free_address
from wasabilb_standins.oracle import answer_text
from wasabilb_wire.codec import FrameBuffer, decode
from wasabilb_wire.messages import Call, Hello

RELOAD_LIMIT_S = 5.0


class Authority:
    """A certificate authority that signs certificates for 127.0.0.1."""

    def __init__(self, name: str) -> None:
        self.key = ec.generate_private_key(ec.SECP256R1())
        self.name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        self.certificate = self._sign(self.name, self.key, is_authority=True)

    def write(self, folder: Path, name: str) -> tuple[str, str, str]:
        """Write a new host certificate and return the paths of certificate, key and authority."""
        key = ec.generate_private_key(ec.SECP256R1())
        subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        certificate = self._sign(subject, key, is_authority=False)
        paths = [folder / f"{name}.{kind}" for kind in ("crt", "key", "ca")]
        paths[0].write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
        paths[1].write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        paths[2].write_bytes(self.certificate.public_bytes(serialization.Encoding.PEM))
        return tuple(str(path) for path in paths)

    def _sign(self, subject, key, *, is_authority):
        now = datetime.datetime.now(datetime.UTC)
        address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
        builder = x509.CertificateBuilder(subject_name=subject, issuer_name=self.name)
        builder = builder.public_key(key.public_key()).serial_number(x509.random_serial_number())
        builder = builder.not_valid_before(now - datetime.timedelta(hours=1))
        builder = builder.not_valid_after(now + datetime.timedelta(days=1))
        builder = builder.add_extension(x509.BasicConstraints(is_authority, None), critical=True)
        builder = builder.add_extension(x509.SubjectAlternativeName([address]), critical=False)
        return builder.sign(self.key, hashes.SHA256())


@given("a fleet of 2 entry hosts and 1 runner with certificates")
def step_tls_fleet(context):
    context.loop_runner = asyncio.Runner()
    context.loop = context.loop_runner.get_loop()
    folder = Path(tempfile.mkdtemp())
    context.folder, context.authority = folder, Authority("fleet")
    cert, key, ca = context.files = context.authority.write(folder, "host")
    links = {"tls_cert": cert, "tls_key": key, "tls_ca": ca}
    shape = FleetShape(
        entry_hosts=2,
        runners=1,
        services={},
        store={"size": 65536},
        entry_settings={"links": links},
        agent_settings={"links": links},
        callers={"tls_cert": cert, "tls_key": key},
    )
    context.fleet = LocalFleet(shape=shape, folder=folder / "fleet")
    context.add_cleanup(context.loop_runner.close)
    context.add_cleanup(lambda: context.loop.run_until_complete(context.fleet.stop()))

    async def start():
        await context.fleet.start()
        context.fleet.publish(context.fleet.ticket(1, version="v1"))
        await context.fleet.wait_version("v1")

    context.loop.run_until_complete(start())


def send_completion(context, authorization, *, tokens=3, is_stream=False):
    """Send a completion over HTTPS."""

    async def fetch():
        client = AsyncHTTPClient(force_instance=True)
        headers = {"Authorization": authorization} if authorization else {}
        body = {"model": "draft", "prompt": f"hello [len={tokens}]", "max_tokens": 999}
        body["stream"] = is_stream
        return await client.fetch(
            f"https://{context.fleet.entry_hosts[0].callers}/v1/completions",
            method="POST",
            headers=headers,
            body=json.dumps(body),
            ca_certs=context.files[2],
            raise_error=False,
        )

    return context.loop.run_until_complete(fetch())


@then("a caller with a key gets a whole answer over HTTPS")
def step_https(context):
    answer = send_completion(context, f"Bearer {context.fleet.account_keys['salon-1']}")
    assert answer.code == 200, answer.body
    assert json.loads(answer.body)["usage"]["completion_tokens"] == 3


@then("a caller with a key gets a whole streamed answer over HTTPS")
def step_https_stream(context):
    key = context.fleet.account_keys["salon-1"]
    answer = send_completion(context, f"Bearer {key}", tokens=100, is_stream=True)
    events = [line[6:] for line in answer.body.decode().split("\n") if line.startswith("data: ")]
    assert answer.code == 200 and events[-1] == "[DONE]", answer.body[-200:]
    text = "".join(json.loads(event)["choices"][0]["text"] for event in events[:-1])
    variant = Variant(model="draft", adapter="", version="v1")
    assert text == answer_text(variant, "hello [len=100]", 999)


@then("these requests are refused")
def step_refused_requests(context):
    for row in context.table:
        answer = send_completion(context, row["authorization"])
        problem = json.loads(answer.body)
        assert answer.code == int(row["status"]), answer.body
        assert problem["type"].endswith(row["kind"]) and problem["outcome"] == "not-run"


def first_message(context, files):
    """Open a link and return its first message, None when it is closed before one arrives."""
    tls = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    tls.check_hostname = False
    tls.verify_mode = ssl.CERT_NONE
    if files:
        tls.load_cert_chain(files[0], files[1])

    async def read():
        ip, _, port = context.fleet.entry_hosts[0].address.rpartition(":")
        try:
            stream = await TCPClient().connect(ip, int(port), ssl_options=tls)
            data = await asyncio.wait_for(stream.read_bytes(4096, partial=True), 5)
        except (StreamClosedError, OSError):
            return None
        return decode(FrameBuffer().feed(data).unwrap()[0]).unwrap()

    return context.loop.run_until_complete(read())


@then("a link without a certificate is closed before any message")
def step_no_certificate(context):
    assert first_message(context, None) is None


@then("a link with a certificate of another authority is closed before any message")
def step_other_authority(context):
    files = Authority("stranger").write(context.folder, "stranger")
    assert first_message(context, files) is None


@then("a link whose certificate the authority signed receives a hello")
def step_own_authority(context):
    assert isinstance(first_message(context, context.files), Hello)


def served_certificate(context):
    """Return the certificate that the callers' listener presents."""
    ip, _, port = context.fleet.entry_hosts[0].callers.rpartition(":")
    return ssl.get_server_certificate((ip, int(port)))


@when("the certificate of the callers' listener is replaced")
def step_replace(context):
    context.before = served_certificate(context)
    context.authority.write(context.folder, "host")


@then("new connections see the new certificate within 5 s without a restart")
def step_reloaded(context):
    process = context.fleet.entry_hosts[0].process

    async def wait():
        for _ in range(int(RELOAD_LIMIT_S * 10)):
            found = await asyncio.to_thread(served_certificate, context)
            if found != context.before:
                return True
            await asyncio.sleep(0.1)
        return False

    assert context.loop.run_until_complete(wait()) and process.poll() is None


@when("the key of the callers' listener cannot be read")
def step_break_key(context):
    Path(context.files[1]).write_text("broken", encoding="utf-8")


@then('the entry host logs "{event}" and its links stay up')
def step_links_stay(context, event):
    host = context.fleet.entry_hosts[0]
    log = context.fleet.folder / f"{host.name}.log"

    async def wait():
        # Peers replace a link after 3 s of silence; 5 s show that heartbeats continue.
        await asyncio.sleep(RELOAD_LIMIT_S)
        return await context.fleet.status(context.fleet.entry_hosts[1])

    status = context.loop.run_until_complete(wait())
    text = log.read_text(encoding="utf-8")
    assert f"event={event}" in text and "event=internal_error" not in text, text[-2000:]
    links = {link["peer"]: link for link in status["links"]}
    assert links[host.name]["state"] == "up" and links[host.name]["silent_s"] < 2.0, links


class Recorder:
    """An event log that keeps its events."""

    def __init__(self) -> None:
        self.events = []

    def event(self, name, **fields):
        """Keep an event."""
        self.events.append((name, fields))


def identity(role):
    """Return the identity of a process of a role."""
    return Identity(
        host=f"a-{role}",
        role=role,
        region="r",
        failure_domain="d",
        incarnation=1,
        address=free_address(),
    )


@given("a link manager that takes calls from entry hosts only")
def step_manager(context):
    context.loop_runner = asyncio.Runner()
    context.loop = context.loop_runner.get_loop()
    context.log, context.calls = Recorder(), []

    async def start():
        context.manager = LinkManager(
            identity=identity("backend"), log=context.log, heartbeat_s=1.0
        )
        context.manager.listen()
        context.manager.set_handler(
            Call, lambda peer, call: context.calls.append(peer.host), from_role="entry"
        )

    context.loop.run_until_complete(start())
    context.add_cleanup(context.loop_runner.close)


@when('a peer of role "{role}" sends a call')
def step_send_call(context, role):
    async def send():
        sender = LinkManager(identity=identity(role), log=Recorder(), heartbeat_s=1.0)
        up = asyncio.get_running_loop().create_future()
        sender.on_link_up.append(up.set_result)
        sender.add_target("manager", context.manager.identity.address)
        peer = await asyncio.wait_for(up, 5)
        peer.send(Call(id=1, request_id="q", target="draft", deadline_ms=1, credit=1))
        # The manager's hello was received, so that its side of the link reads frames in order.
        for _ in range(500):
            refused = [name for name, _ in context.log.events if name == "frame_refused"]
            if context.calls or (refused and role != "entry"):
                break
            await asyncio.sleep(0.01)
        sender.close()

    context.loop.run_until_complete(send())


@then("the call is dropped and logged as refused")
def step_dropped(context):
    assert context.calls == []
    assert any(name == "frame_refused" for name, _ in context.log.events), context.log.events


@then("the call arrives")
def step_arrives_call(context):
    assert context.calls == ["a-entry"]
