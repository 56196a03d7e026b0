"""Metrics record values, limit their memory and are rendered as Prometheus text."""

from datetime import UTC, datetime

import pytest
from prometheus_client.parser import text_string_to_metric_families

from pomelothread.clock import ManualClock
from pomelothread.metrics import MAX_SERIES, OTHER, WINDOW_S, Metrics


@pytest.fixture
def clock():
    return ManualClock(datetime(2026, 3, 1, tzinfo=UTC))


@pytest.fixture
def metrics(clock):
    return Metrics(clock)


def samples(metrics):
    return {
        (sample.name.removeprefix("pomelothread_"), *sample.labels.values()): (
            sample.value
        )
        for family in text_string_to_metric_families(metrics.render().decode())
        for sample in family.samples
    }


def test_all_kinds_are_rendered_with_their_labels(metrics):
    metrics.counter("requests_total", "Requests.", "tier").labels('a"b').add(2)
    metrics.gauge("places", "Places.").labels().set(7)
    metrics.gauge("waiting", "Waiting.").labels().set_function(lambda: 3)
    wait = metrics.histogram("wait_seconds", "Wait.").labels()
    for n in range(1, 101):
        wait.observe(n / 1000)
    found = samples(metrics)
    assert found["requests_total", 'a"b'] == 2
    assert found["places",] == 7
    assert found["waiting",] == 3
    assert found["wait_seconds_count",] == 100
    assert found["wait_seconds_sum",] == pytest.approx(5.05)
    assert found["wait_seconds", "0.5"] == pytest.approx(0.050, rel=0.01)
    assert found["wait_seconds", "0.999"] == pytest.approx(0.100, rel=0.01)
    assert found["process_resident_memory_bytes",] > 0


def test_the_type_line_of_a_counter_names_its_samples(metrics):
    # Guards against a duplicated suffix, such as requests_total_total.
    metrics.counter("requests_total", "Requests.").labels().add()
    assert b"# TYPE pomelothread_requests_total counter" in metrics.render()


@pytest.mark.parametrize(
    ("pauses_s", "expected"),
    [
        ((), 1.0),
        ((WINDOW_S,), 1.0),
        ((WINDOW_S, WINDOW_S), None),
        ((2 * WINDOW_S,), None),
        ((WINDOW_S / 2, WINDOW_S / 2), 1.0),
    ],
)
def test_quantiles_drop_values_after_one_to_two_windows(
    metrics, clock, pauses_s, expected
):
    # Without windows, a recent slow value does not show among those of a month.
    wait = metrics.histogram("wait_seconds", "Wait.").labels()
    wait.observe(1.0)
    for pause_s in pauses_s:
        clock.advance(pause_s)
        (median,) = wait.quantiles(0.5)
    (median,) = wait.quantiles(0.5)
    if expected is None:
        assert median != median
    else:
        assert median == pytest.approx(expected, rel=0.01)
    assert wait.count == 1


@pytest.mark.parametrize(
    ("value", "expected"), [(-1.0, 0.0), (0.0, 0.0), (1e9, 3600.0)]
)
def test_values_outside_the_range_are_clamped(metrics, value, expected):
    wait = metrics.histogram("wait_seconds", "Wait.").labels()
    wait.observe(value)
    assert wait.quantiles(1.0)[0] == pytest.approx(expected, rel=0.01)


def test_series_beyond_the_limit_are_combined(metrics):
    requests = metrics.counter("requests_total", "Requests.", "organisation")
    for n in range(MAX_SERIES + 10):
        requests.labels(str(n)).add()
    assert len(requests.series) == MAX_SERIES + 1
    assert requests.labels(OTHER).value == 10


def test_invalid_names_and_labels_are_rejected(metrics):
    family = metrics.counter("requests_total", "Requests.", "tier")
    with pytest.raises(ValueError, match="is taken"):
        metrics.gauge("requests_total", "Requests.")
    with pytest.raises(ValueError, match="_total"):
        metrics.counter("requests", "Requests.")
    with pytest.raises(ValueError, match="one for each of"):
        family.labels("check", "run")
