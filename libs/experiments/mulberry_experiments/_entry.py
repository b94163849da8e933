"""Load test of one entry, compared with direct calls of the stand-ins.

Both are measured in one run, one after the other, with the same schedule
of requests. Several processes generate the load, each with one libcurl multi
handle, so that the load generator does not limit or delay the streams.
"""

import dataclasses
import enum
import json
import multiprocessing
import os
import pathlib
import random
import threading
import time
from collections.abc import Iterator, Mapping, Sequence
from concurrent import futures

import pycurl
from hdrh import histogram

_LOWEST_US = 1
_HIGHEST_US = 60_000_000
_SIGNIFICANT_DIGITS = 3
_PERCENTILES = (50, 95, 99)

#: Time for the load processes to start before the first request, seconds.
_START_DELAY_S = 2.0
#: Extra time for the last streams to end, seconds.
_DRAIN_S = 30.0
#: Interval between samples of the entry's process, seconds.
_SAMPLE_INTERVAL_S = 0.25
_SELECT_TIMEOUT_S = 0.05

_CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


@dataclasses.dataclass(frozen=True)
class Row:
    """One measured figure."""

    name: str
    figure: float
    unit: str
    #: `<= NUMBER` if the design sets a bound, else empty.
    target: str = ""


class Arrivals(enum.Enum):
    """Distribution of the arrival times of requests."""

    EVEN = "even"
    #: Poisson process, as of many independent callers.
    RANDOM = "random"


@dataclasses.dataclass(frozen=True)
class EntryLoad:
    """The entry under test and the load on it."""

    #: `IP:PORT` of the entry.
    entry: str
    #: API key of a team.
    key: str
    model: str
    #: Version that `upstreams` serve.
    version: str
    #: `IP:PORT` of the stand-ins that are called directly.
    upstreams: tuple[str, ...]
    #: Process id of the entry.
    entry_pid: int
    requests_per_s: float = 20.0
    #: Tokens of each answer. The stand-ins must be started with at least as
    #: many, and with a token rate at which an answer takes `stream_s`.
    tokens: int = 200
    #: Expected duration of one answer, seconds.
    stream_s: float = 5.0
    #: Duration of the load, seconds.
    duration_s: float = 20.0
    processes: int = 4
    arrivals: Arrivals = Arrivals.RANDOM
    #: Seed of random arrivals.
    seed: int = 1


@dataclasses.dataclass(frozen=True)
class _ProcessLoad:
    """Requests that one process sends."""

    urls: tuple[str, ...]
    header_lines: tuple[str, ...]
    #: One body per request.
    bodies: tuple[bytes, ...]
    #: CLOCK_MONOTONIC times, seconds; all processes share this clock.
    send_at_s: tuple[float, ...]
    end_at_s: float


@dataclasses.dataclass(frozen=True)
class _ProcessResult:
    """Measurements of one process, with encoded histograms."""

    first_token: bytes
    token_gap: bytes
    #: Delay of requests relative to the schedule.
    send_lag: bytes
    complete: int
    failed: int
    tokens: int
    cpu_s: float
    first_failure: str


@dataclasses.dataclass
class _PhaseResult:
    """Merged measurements of all processes."""

    first_token: histogram.HdrHistogram
    token_gap: histogram.HdrHistogram
    send_lag: histogram.HdrHistogram
    complete: int = 0
    failed: int = 0
    tokens: int = 0
    cpu_s: float = 0.0
    first_failure: str = ""


@dataclasses.dataclass(frozen=True)
class _Usage:
    """Resource usage of the entry's process under full load."""

    #: Fraction of one core.
    cpu: float
    threads: int
    idle_rss_bytes: int
    peak_rss_bytes: int


def measure_entry(load: EntryLoad) -> list[Row]:
    """Runs the load directly and through the entry and returns the rows.

    Raises:
        RuntimeError: No request succeeded, or the load was too short.
    """
    direct = _run_phase(load, [f"http://{item}" for item in load.upstreams])
    monitor = _ProcessMonitor(load)
    entry = _run_phase(load, [f"http://{load.entry}"], monitor)
    for name, phase in (("direct", direct), ("entry", entry)):
        if not phase.complete:
            raise RuntimeError(f"{name}: {phase.first_failure}")
    return [
        *_latency_rows("direct", direct),
        *_latency_rows("entry", entry),
        *_added_rows(direct, entry),
        *_throughput_rows(load, direct, entry),
        *_usage_rows(load, monitor.usage()),
    ]


def _new_histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(_LOWEST_US, _HIGHEST_US, _SIGNIFICANT_DIGITS)


def _run_phase(
    load: EntryLoad,
    urls: Sequence[str],
    monitor: "_ProcessMonitor | None" = None,
) -> _PhaseResult:
    start_s = time.monotonic() + _START_DELAY_S
    process_loads = _split_load(load, urls, start_s)
    context = multiprocessing.get_context("spawn")
    with futures.ProcessPoolExecutor(load.processes, context) as pool:
        running = [
            pool.submit(_generate_load, process_load)
            for process_load in process_loads
        ]
        if monitor is not None:
            monitor.start(start_s)
        results = [item.result() for item in running]
    if monitor is not None:
        monitor.stop()
    phase = _PhaseResult(_new_histogram(), _new_histogram(), _new_histogram())
    for result in results:
        phase.first_token.decode_and_add(result.first_token)
        phase.token_gap.decode_and_add(result.token_gap)
        phase.send_lag.decode_and_add(result.send_lag)
        phase.complete += result.complete
        phase.failed += result.failed
        phase.tokens += result.tokens
        phase.cpu_s += result.cpu_s
        phase.first_failure = phase.first_failure or result.first_failure
    return phase


def _split_load(
    load: EntryLoad, urls: Sequence[str], start_s: float
) -> list[_ProcessLoad]:
    count = int(load.requests_per_s * load.duration_s)
    times = _arrival_times(load, start_s, count)
    bodies = [_body(load, index) for index in range(count)]
    return [
        _ProcessLoad(
            urls=tuple(f"{url}/v1/chat/completions" for url in urls),
            header_lines=(
                "Content-Type: application/json",
                f"Authorization: Bearer {load.key}",
                f"X-Mulberry-Version: {load.version}",
                "Expect:",
            ),
            bodies=tuple(bodies[offset :: load.processes]),
            send_at_s=tuple(times[offset :: load.processes]),
            end_at_s=start_s + load.duration_s + load.stream_s + _DRAIN_S,
        )
        for offset in range(load.processes)
    ]


def _arrival_times(load: EntryLoad, start_s: float, count: int) -> list[float]:
    """Returns the times at which requests are sent.

    Even spacing synchronizes the streams, so that tokens arrive in bursts of
    one token per stream. Random arrivals avoid this.
    """
    if load.arrivals is Arrivals.EVEN:
        return [start_s + index / load.requests_per_s for index in range(count)]
    rng = random.Random(load.seed)
    gaps = [rng.expovariate(load.requests_per_s) for _ in range(count)]
    return [start_s + sum(gaps[:index]) for index in range(count)]


def _body(load: EntryLoad, index: int) -> bytes:
    """Returns a request body with unique content.

    The entry routes equal contents to the same two upstreams, which would be
    overloaded behind the entry but not when called directly.
    """
    content = f"Measure the entry, request {index}."
    return json.dumps(
        {
            "model": load.model,
            "messages": [{"role": "user", "content": content}],
            "stream": True,
            "max_tokens": load.tokens,
        }
    ).encode()


class _Stream:
    """One streaming request of the load."""

    def __init__(
        self, load: _ProcessLoad, index: int, generator: "_LoadGenerator"
    ) -> None:
        self._generator = generator
        self._last_s = 0.0
        self._tail = b""
        self.tokens = 0
        self.easy = pycurl.Curl()
        easy = self.easy
        easy.setopt(pycurl.URL, load.urls[index % len(load.urls)])
        easy.setopt(pycurl.PROXY, "")
        easy.setopt(pycurl.NOSIGNAL, 1)
        request_id = f"X-Request-Id: load-{os.getpid()}-{index}"
        easy.setopt(pycurl.HTTPHEADER, [*load.header_lines, request_id])
        easy.setopt(pycurl.POSTFIELDS, load.bodies[index])
        easy.setopt(pycurl.WRITEFUNCTION, self._on_data)
        self._sent_s = time.monotonic()

    @property
    def complete(self) -> bool:
        """Whether the answer was received completely."""
        return self._tail.endswith(b"data: [DONE]\n\n")

    @property
    def tail(self) -> bytes:
        """The last bytes received, for error messages."""
        return self._tail

    def _on_data(self, data: bytes) -> None:
        now_s = time.monotonic()
        tokens = data.count(b'"content":')
        if not self.tokens:
            self._generator.first_token.record_value(
                _to_us(now_s - self._sent_s)
            )
        elif tokens:
            self._generator.token_gap.record_value(_to_us(now_s - self._last_s))
            # Tokens in the same chunk have no gap between them.
            for _ in range(tokens - 1):
                self._generator.token_gap.record_value(_LOWEST_US)
        if tokens:
            self._last_s = now_s
        self.tokens += tokens
        self._tail = (self._tail + data)[-200:]


class _LoadGenerator:
    """Sends the requests of one process on schedule."""

    def __init__(self, load: _ProcessLoad) -> None:
        self.first_token = _new_histogram()
        self.token_gap = _new_histogram()
        self._send_lag = _new_histogram()
        self._load = load
        self._multi = pycurl.CurlMulti()
        self._stream_by_easy: dict[pycurl.Curl, _Stream] = {}
        self._complete = 0
        self._failed = 0
        self._tokens = 0
        self._first_failure = ""

    def run(self) -> _ProcessResult:
        """Sends all requests and waits for their streams to end."""
        pending = list(enumerate(self._load.send_at_s))
        while pending or self._stream_by_easy:
            now_s = time.monotonic()
            if now_s > self._load.end_at_s:
                self._failed += len(pending) + len(self._stream_by_easy)
                self._first_failure = (
                    self._first_failure or "streams did not end in time"
                )
                break
            while pending and pending[0][1] <= now_s:
                index, at_s = pending.pop(0)
                self._send_lag.record_value(_to_us(now_s - at_s))
                self._send(index)
            self._multi.perform()
            self._collect()
            wait_s = (
                pending[0][1] - time.monotonic()
                if pending
                else _SELECT_TIMEOUT_S
            )
            if self._stream_by_easy:
                self._multi.select(max(0.0, min(_SELECT_TIMEOUT_S, wait_s)))
            else:
                time.sleep(max(0.0, wait_s))
        return self._result()

    def _send(self, index: int) -> None:
        stream = _Stream(self._load, index, self)
        self._stream_by_easy[stream.easy] = stream
        self._multi.add_handle(stream.easy)

    def _collect(self) -> None:
        _, succeeded, broken = self._multi.info_read()
        for easy in succeeded:
            self._finish(easy, "")
        for easy, _, message in broken:
            self._finish(easy, message)

    def _finish(self, easy: pycurl.Curl, error: str) -> None:
        stream = self._stream_by_easy.pop(easy)
        self._multi.remove_handle(easy)
        easy.close()
        self._tokens += stream.tokens
        if stream.complete and not error:
            self._complete += 1
            return
        self._failed += 1
        self._first_failure = self._first_failure or (
            error or stream.tail.decode("utf-8", "replace")
        )

    def _result(self) -> _ProcessResult:
        return _ProcessResult(
            first_token=self.first_token.encode(),
            token_gap=self.token_gap.encode(),
            send_lag=self._send_lag.encode(),
            complete=self._complete,
            failed=self._failed,
            tokens=self._tokens,
            cpu_s=time.process_time(),
            first_failure=self._first_failure,
        )


def _generate_load(load: _ProcessLoad) -> _ProcessResult:
    return _LoadGenerator(load).run()


def _to_us(seconds: float) -> int:
    return min(_HIGHEST_US, max(_LOWEST_US, int(seconds * 1e6)))


class _ProcessMonitor:
    """Samples resource usage of the entry's process under full load."""

    def __init__(self, load: EntryLoad) -> None:
        self._load = load
        self._proc = pathlib.Path(f"/proc/{load.entry_pid}")
        self._idle_rss_bytes = self._rss_bytes()
        self._samples: list[tuple[float, float]] = []
        self._peak_rss_bytes = self._idle_rss_bytes
        self._threads = 0
        self._stop_event = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._sample_from_s = 0.0

    def start(self, start_s: float) -> None:
        """Starts sampling once the number of streams is at its maximum."""
        self._sample_from_s = start_s + self._load.stream_s
        self._thread.start()

    def stop(self) -> None:
        """Stops sampling."""
        self._stop_event.set()
        self._thread.join()

    def usage(self) -> _Usage:
        """Returns the usage under full load.

        Raises:
            RuntimeError: There are fewer than two samples.
        """
        if len(self._samples) < 2:
            raise RuntimeError(
                "the load was too short to sample the process of the entry twice"
            )
        (first_s, first_cpu_s), (last_s, last_cpu_s) = (
            self._samples[0],
            self._samples[-1],
        )
        return _Usage(
            cpu=(last_cpu_s - first_cpu_s) / (last_s - first_s),
            threads=self._threads,
            idle_rss_bytes=self._idle_rss_bytes,
            peak_rss_bytes=self._peak_rss_bytes,
        )

    def _run(self) -> None:
        until_s = (
            self._sample_from_s + self._load.duration_s - self._load.stream_s
        )
        while not self._stop_event.wait(_SAMPLE_INTERVAL_S):
            self._peak_rss_bytes = max(self._peak_rss_bytes, self._rss_bytes())
            now_s = time.monotonic()
            if self._sample_from_s <= now_s <= until_s:
                cpu_s, self._threads = self._cpu_and_threads()
                self._samples.append((now_s, cpu_s))

    def _rss_bytes(self) -> int:
        fields = (self._proc / "statm").read_text().split()
        return int(fields[1]) * _PAGE_BYTES

    def _cpu_and_threads(self) -> tuple[float, int]:
        # The command name is in parentheses and may contain spaces.
        text = (self._proc / "stat").read_text().rpartition(")")[2]
        fields = text.split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / _CLOCK_TICKS_PER_S, int(fields[17])


def _percentiles_ms(
    measured: histogram.HdrHistogram,
) -> Mapping[int, float]:
    return {
        percent: measured.get_value_at_percentile(percent) / 1e3
        for percent in _PERCENTILES
    }


def _latency_rows(name: str, phase: _PhaseResult) -> Iterator[Row]:
    for metric, measured in (
        ("first_token", phase.first_token),
        ("token_gap", phase.token_gap),
    ):
        for percent, figure in _percentiles_ms(measured).items():
            yield Row(f"{name}.{metric}.p{percent}", figure, "ms")


def _added_rows(direct: _PhaseResult, entry: _PhaseResult) -> Iterator[Row]:
    targets = {"first_token": "<= 5", "token_gap": "<= 1"}
    for metric, target in targets.items():
        direct_ms = _percentiles_ms(getattr(direct, metric))
        entry_ms = _percentiles_ms(getattr(entry, metric))
        for percent in _PERCENTILES:
            yield Row(
                f"added.{metric}.p{percent}",
                entry_ms[percent] - direct_ms[percent],
                "ms",
                target if percent == 95 else "",
            )


def _throughput_rows(
    load: EntryLoad, direct: _PhaseResult, entry: _PhaseResult
) -> Iterator[Row]:
    seconds = load.duration_s + load.stream_s
    for name, phase in (("direct", direct), ("entry", entry)):
        yield Row(f"{name}.complete", phase.complete, "requests")
        yield Row(f"{name}.failed", phase.failed, "requests", "<= 0")
        yield Row(
            f"{name}.requests_per_s",
            phase.complete / load.duration_s,
            "requests/s",
        )
        yield Row(f"{name}.tokens_per_s", phase.tokens / seconds, "tokens/s")
        lag_ms = _percentiles_ms(phase.send_lag)[99]
        yield Row(f"{name}.tool.send_lag.p99", lag_ms, "ms")
        cpu = phase.cpu_s / seconds / load.processes * 100
        yield Row(f"{name}.tool.cpu", cpu, "% of a core per process")


def _usage_rows(load: EntryLoad, usage: _Usage) -> Iterator[Row]:
    yield Row("entry.cpu", usage.cpu * 100, "% of a core", "<= 30")
    yield Row("entry.threads", usage.threads, "threads")
    yield Row("entry.rss", usage.peak_rss_bytes / 1e6, "MB")
    streams = load.requests_per_s * load.stream_s
    growth_bytes = usage.peak_rss_bytes - usage.idle_rss_bytes
    yield Row("entry.rss_per_stream", growth_bytes / streams / 1e3, "kB")
