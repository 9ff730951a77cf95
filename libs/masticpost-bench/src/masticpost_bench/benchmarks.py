"""Registry of the benchmarks, by their name on the command line."""

import collections.abc

from masticpost_common import registry

Benchmark = collections.abc.Callable[
    [dict[str, object]], collections.abc.Awaitable[int]
]
BENCHMARKS: registry.Registry[Benchmark] = registry.Registry(kind="benchmark")
