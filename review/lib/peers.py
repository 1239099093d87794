"""Stand-ins for an application endpoint and for clients, as PROTOCOL.md describes them."""
import json
import socket
import threading
import time

import rig


def read_head(stream):
    """Reads a request or answer head. Returns (first line, [(name, value)]), or None at the end of the stream."""
    lines = []
    while True:
        line = stream.readline(65536)
        if not line:
            return None
        line = line.rstrip(b"\r\n").decode("latin-1")
        if not line:
            break
        lines.append(line)
    if not lines:
        return None
    fields = [tuple(part.strip() for part in line.split(":", 1)) for line in lines[1:] if ":" in line]
    return lines[0], fields


def field(fields, name):
    for known, value in fields:
        if known.lower() == name.lower():
            return value
    return None


def read_exactly(stream, size):
    """Raises ValueError if the stream ends before."""
    data = stream.read(size)
    if len(data) < size:
        raise ValueError("a body was cut short")
    return data


def read_body(stream, fields):
    length = field(fields, "Content-Length")
    if length is not None:
        return read_exactly(stream, int(length))
    if (field(fields, "Transfer-Encoding") or "").lower() != "chunked":
        return b""
    body = b""
    while True:
        size = int(stream.readline().split(b";")[0], 16)
        piece = read_exactly(stream, size)
        stream.readline()
        if size == 0:
            return body
        body += piece


class Endpoint:
    """A sound endpoint: beats to the `control` address of its machine, answers its health path, runs requests
    that name its id, 421 for those that name another. `ran` holds (first line, fields, body) of each run."""

    def __init__(self, mesh, name, identity, work_s=0.02):
        self.mesh, self.name, self.identity, self.work_s = mesh, name, identity, work_s
        self.address = mesh.address(name, "app")
        self.service, self.zone = mesh.machines[name]["service"], mesh.machines[name]["zone"]
        self.ran, self.sequence, self.state, self.ended = [], 0, "ready", False
        self.listener = socket.create_server((mesh.machines[name]["ip"], mesh.ports["app"]), backlog=64)
        threading.Thread(target=self.accept, daemon=True).start()
        threading.Thread(target=self.beat, daemon=True).start()

    def beat(self):
        while not self.ended:
            self.sequence += 1
            body = json.dumps({"address": self.address,
                               "node_info": {"service": self.service, "version": "v1", "zone": self.zone, "slots": 6},
                               "status": {"state": self.state, "call_seq": self.sequence, "cold_left_ms": 0}})
            status, _, _ = rig.call(self.mesh.address(self.name, "control"), "POST",
                                    f"/v1/instances/{self.identity}/heartbeat", body,
                                    {"Content-Type": "application/json"})
            time.sleep(1.5 if status == 200 else 0.2)

    def accept(self):
        while not self.ended:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        with connection, connection.makefile("rb") as stream:
            try:
                while True:
                    head = read_head(stream)
                    if head is None:
                        return
                    body = read_body(stream, head[1])
                    self.send_answer(connection, self.answer(head[0], head[1], body))
            except (OSError, ValueError):
                return

    def send_answer(self, connection, answer):
        connection.sendall(answer)

    def answer(self, line, fields, body):
        attempt = field(fields, "Attempt-Id")
        back = f"Attempt-Id: {attempt}\r\n" if attempt else ""
        if line.split(" ")[1] == "/health":
            return f"HTTP/1.1 200 OK\r\nInstance-Id: {self.identity}\r\nContent-Length: 0\r\n\r\n".encode()
        expected = field(fields, "Expected-Instance")
        if expected is not None and expected != self.identity:
            return (f"HTTP/1.1 421 Misdirected Request\r\n{back}Instance-Id: {self.identity}\r\n"
                    "Content-Length: 0\r\n\r\n").encode()
        if not attempt:
            return b"HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        self.ran.append((line, fields, body))
        self.mesh.record.write(f"endpoint {self.identity} ({self.service}) runs {attempt}: {line}; "
                               + "; ".join(f"{n}: {field(fields, n)}" for n in ("Tenant-Name", "Caller-Service")))
        time.sleep(self.work_s)
        text = self.text_of(line, attempt)
        return (f"HTTP/1.1 200 OK\r\n{back}Server-Seal: seal-{self.identity}-{attempt}\r\n"
                f"Content-Length: {len(text)}\r\n\r\n{text}").encode()

    def text_of(self, line, attempt):
        return f"done {attempt} by {self.identity}: {line}"

    def close(self):
        self.ended = True
        try:
            self.listener.shutdown(socket.SHUT_RDWR)  # wakes accept()
        except OSError:
            pass
        self.listener.close()


def send(mesh, name, head, body=b"", timeout=4.0):
    """Sends a request as it stands to `outbound` of a machine. Returns (status, fields, body); status 0: none."""
    try:
        with socket.create_connection((mesh.machines[name]["ip"], mesh.ports["outbound"]), timeout) as connection:
            connection.settimeout(timeout)
            connection.sendall(head.encode("latin-1") + body)
            with connection.makefile("rb") as stream:
                answer = read_head(stream)
                if answer is None:
                    return 0, [], b""
                return int(answer[0].split(" ")[1]), answer[1], read_body(stream, answer[1])
    except (OSError, ValueError):
        return 0, [], b""


def wait_ready(mesh, names, seconds=15):
    """Waits until `readiness` of each machine answers 200."""
    end = time.monotonic() + seconds
    for name in names:
        while rig.call(mesh.address(name, "readiness"), "GET", "/v1/readiness")[0] != 200:
            if time.monotonic() > end:
                raise rig.CannotRun(f"{name} is not ready")
            time.sleep(0.1)
        mesh.record.write(f"{name}: ready")
