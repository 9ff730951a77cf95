"""Possible causes of upstream crashes: single requests, and parts of prompts.

A crash counts against the request that was running and against each shared part of its
prompt. The evidence for a cause is the set of runs (process lifetimes of upstreams)
that ended while it was running and that no cause found before explains.
"""

import collections.abc
import functools
import hashlib
import math

import attrs

# Crashes of different runs that make a cause accused and quarantined.
ACCUSED_AFTER = 2
QUARANTINED_AFTER = 3
# So many crashes are no coincidence, even if another cause was present at each one.
CONCLUSIVE_AFTER = 5
# Time after the first event of an answer within which a part of the prompt crashes the
# upstream, if it does.
SURVIVAL_S = 0.5
# Requests with the same part that are told apart in one crash.
MAX_REQUESTS_PER_RUN = 8
PART_PREFIX = "part-"
PART_DIGEST_BYTES = 8
# A request is a narrower cause than any part of a prompt.
REQUEST_DEPTH = 1_000_000


@functools.lru_cache(maxsize=4096)
def part_key(name: str) -> str:
    """Return the key of a part of prompts, whichever requests contain it."""
    digest = hashlib.blake2b(name.lower().encode(), digest_size=PART_DIGEST_BYTES)
    return PART_PREFIX + digest.hexdigest()


def is_part(key: str) -> bool:
    """Return whether a key is that of a part, not of a request."""
    return key.startswith(PART_PREFIX)


@attrs.frozen(kw_only=True)
class Crash:
    """A crash of an upstream while a request was running there.

    Attributes
    ----------
    run : str
        Identifies the run, one process lifetime of the upstream.
    at : float
        Monotonic seconds.
    request : str
        Fingerprint of the request.
    parts : tuple of str
        Keys of the shared parts of its prompt, in order.
    had_begun : bool
        Whether a part of its answer had arrived.
    had_survived : bool
        Whether its answer had been under way for `SURVIVAL_S`, so that no part of the
        prompt caused the crash.
    """

    run: str
    at: float
    request: str
    parts: tuple[str, ...] = ()
    had_begun: bool = False
    had_survived: bool = False

    def suspects(self) -> collections.abc.Iterator[tuple[str, int]]:
        """Yield the key and the depth of each cause that this crash counts against."""
        yield self.request, REQUEST_DEPTH
        if not self.had_survived:
            yield from zip(self.parts, range(len(self.parts)), strict=True)


@attrs.define(kw_only=True)
class Suspect:
    """A possible cause and its crashes.

    Attributes
    ----------
    depth : int
        Place of a part in the prompt; `REQUEST_DEPTH` for a request. The requests with
        a later part are mostly among those with an earlier one.
    last_crash_at : float
        Time of the latest crash, in monotonic seconds.
    crashes : dict
        The crashes by run, one for each request that was running.
    """

    key: str
    depth: int
    last_crash_at: float = -math.inf
    crashes: dict[str, list[Crash]] = attrs.field(factory=dict)

    def add(self, crash: Crash) -> bool:
        """Add a crash; return whether it is new."""
        rows = self.crashes.setdefault(crash.run, [])
        is_known = any(row.request == crash.request for row in rows)
        if is_known or len(rows) >= MAX_REQUESTS_PER_RUN:
            return False
        rows.append(crash)
        self.last_crash_at = max(self.last_crash_at, crash.at)
        return True

    def discard_until(self, at: float) -> None:
        """Discard the crashes at a time or before it, in monotonic seconds."""
        self.crashes = {
            run: rows for run, rows in self.crashes.items() if rows[0].at > at
        }

    def times(self) -> list[float]:
        """Return the time of each run's end, in order, in monotonic seconds."""
        return sorted(rows[0].at for rows in self.crashes.values())

    def left_s(self, count: int, delay_s: float, now: float) -> float:
        """Return the rest of a delay after the crash of this number, in seconds.

        It is 0 if there are fewer crashes.
        """
        if len(self.crashes) < count:
            return 0.0
        return max(0.0, self.times()[count - 1] + delay_s - now)

    @property
    def is_pattern(self) -> bool:
        """Whether this is a part, and no single request was running at all crashes."""
        return is_part(self.key) and _have_no_common_request(self.crashes)

    def is_explained_by(self, other: "Suspect", *, margin: int) -> bool:
        """Return whether a quarantined cause explains the crashes shared with it.

        A single request explains different requests with the same part only if it was
        running at all of their crashes. Any other cause is explained by one with more
        crashes, or with up to `margin` less one fewer.
        """
        if self.is_pattern and not is_part(other.key):
            return self.crashes.keys() <= other.crashes.keys()
        return len(self.crashes) < len(other.crashes) + margin

    @property
    def has_prompt(self) -> bool:
        """Whether parts of prompts may have caused the same crashes."""
        return any(row.parts for rows in self.crashes.values() for row in rows)


@attrs.frozen(kw_only=True)
class Evidence:
    """The crashes of a suspect that no quarantined cause explains.

    Attributes
    ----------
    was_sound : bool
        Whether the cause was answered shortly before the first of the crashes.
    unsurvived : int
        Crashes at which no answer had been under way for `SURVIVAL_S`.
    had_just_begun : bool
        Whether at each crash an answer had just begun. The real cause acts at the same
        point each time.
    is_pattern : bool
        Whether the cause is a part, and no single request was running at all crashes.
    """

    suspect: Suspect
    runs: frozenset[str]
    was_sound: bool
    unsurvived: int
    had_just_begun: bool
    is_pattern: bool

    @classmethod
    def of(
        cls,
        suspect: Suspect,
        explained: collections.abc.Set[str],
        *,
        was_sound: bool,
    ) -> "Evidence":
        """Return the evidence of a suspect without the explained runs."""
        left = {
            run: rows for run, rows in suspect.crashes.items() if run not in explained
        }
        return cls(
            suspect=suspect,
            runs=frozenset(left),
            was_sound=was_sound,
            unsurvived=sum(
                not all(row.had_survived for row in rows) for rows in left.values()
            ),
            had_just_begun=all(
                any(row.had_begun and not row.had_survived for row in rows)
                for rows in left.values()
            ),
            is_pattern=is_part(suspect.key) and _have_no_common_request(left),
        )

    @property
    def weight(self) -> tuple[bool, bool, int, int, bool, int]:
        """What decides between causes of the same crashes; the larger is blamed first.

        A request that moves from one crashed upstream to the next shares the crashes of
        a deadly part by chance, different requests with the same part hardly do. Of
        equal evidence the narrower cause is blamed, which stops fewer requests: if
        crashes go on without it, the wider one has more.
        """
        return (
            not self.was_sound,
            self.is_pattern,
            len(self.runs),
            self.unsurvived,
            self.had_just_begun,
            self.suspect.depth,
        )

    @property
    def is_sufficient(self) -> bool:
        """Whether the cause has enough crashes to be quarantined."""
        if not is_part(self.suspect.key):
            return len(self.runs) >= QUARANTINED_AFTER
        needed = CONCLUSIVE_AFTER if self.was_sound else QUARANTINED_AFTER
        return self.is_pattern and len(self.runs) >= needed

    def is_rivalled_by(self, other: "Evidence") -> bool:
        """Return whether another cause explains these crashes as well or better.

        One that was at all of these crashes and at more of them does, whatever else
        speaks for this one.
        """
        if other.suspect is self.suspect or self.runs.isdisjoint(other.runs):
            return False
        if self.was_sound != other.was_sound:
            return self.was_sound
        if self.runs < other.runs or other.runs < self.runs:
            return self.runs < other.runs
        return other.weight >= self.weight


def _have_no_common_request(crashes: dict[str, list[Crash]]) -> bool:
    requests = [{row.request for row in rows} for rows in crashes.values()]
    return bool(requests) and not set.intersection(*requests)
