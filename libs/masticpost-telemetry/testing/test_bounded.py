"""A bounded log stream never blocks the process and reports dropped lines."""

import os
import time

import msgspec
from masticpost_telemetry import logs


def read_all(fd):
    os.set_blocking(fd, False)
    data = b""
    while True:
        try:
            piece = os.read(fd, 65_536)
        except BlockingIOError:
            return data
        if not piece:
            return data
        data += piece


def test_stalled_reader_does_not_block_and_dropped_lines_are_reported():
    reader, writer = os.pipe()
    stream = logs.BoundedStream(fd=writer, lines_per_s=1e9, burst=1e9)
    line = msgspec.json.encode({"text": "x" * 990}).decode() + "\n"
    began = time.monotonic()
    for _ in range(5000):
        stream.write(line)
    assert time.monotonic() - began < 30.0
    assert stream.dropped > 4000
    dropped = stream.dropped
    first = read_all(reader)
    stream.write(line)
    rows = (first + read_all(reader)).decode().splitlines()
    decoded = [msgspec.json.decode(row) for row in rows]
    assert {"message": "log lines dropped", "dropped": dropped} in decoded


def test_lines_over_the_rate_are_dropped():
    reader, writer = os.pipe()
    stream = logs.BoundedStream(fd=writer, lines_per_s=0.0, burst=10.0)
    for number in range(100):
        stream.write(f"{number}\n")
    assert read_all(reader).split() == [str(n).encode() for n in range(10)]
    assert stream.dropped == 90


def test_closed_reader_raises_no_error():
    reader, writer = os.pipe()
    os.close(reader)
    stream = logs.BoundedStream(fd=writer)
    stream.write("line\n")
    stream.write("line\n")
