"""Logs never block the process and say what they left out."""

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


def test_reader_that_stops_blocks_nothing_and_the_loss_is_told():
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


def test_flood_is_held_to_the_rate():
    reader, writer = os.pipe()
    stream = logs.BoundedStream(fd=writer, lines_per_s=0.0, burst=10.0)
    for number in range(100):
        stream.write(f"{number}\n")
    assert read_all(reader).split() == [str(n).encode() for n in range(10)]
    assert stream.dropped == 90


def test_reader_that_is_gone_ends_nothing():
    reader, writer = os.pipe()
    os.close(reader)
    stream = logs.BoundedStream(fd=writer)
    stream.write("line\n")
    stream.write("line\n")
