"""Rendezvous hashing and the mapping of keys to shards.

Source: Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates",
IEEE/ACM Transactions on Networking 6(1), 1998.
"""

import collections.abc
import functools

import xxhash

# Weights in the cache, one entry per pair of member and key.
WEIGHT_CACHE_SIZE = 16_384


@functools.lru_cache(maxsize=WEIGHT_CACHE_SIZE)
def weight(member: str, key: str) -> int:
    """Return the 64-bit weight of `member` for `key`."""
    return xxhash.xxh3_64_intdigest(f"{member}\0{key}".encode())


def ranked(members: collections.abc.Iterable[str], key: str) -> list[str]:
    """Return the members sorted by their weight for `key`, highest first."""
    return sorted(members, key=lambda member: weight(member, key), reverse=True)


def owner(members: collections.abc.Iterable[str], key: str) -> str | None:
    """Return the member with the highest weight for `key`, None without members."""
    return max(members, key=lambda member: weight(member, key), default=None)


def shard_of(key: str, shard_count: int) -> int:
    """Return the shard of `key`, from 0 to ``shard_count - 1``."""
    return xxhash.xxh3_64_intdigest(key.encode()) % shard_count


def unit_hash(key: str) -> float:
    """Return the hash of `key` as a number in [0, 1), evenly distributed."""
    return xxhash.xxh3_64_intdigest(key.encode()) / 2**64
