"""Tests of the benchmark's load and of the figures computed from its answers."""

import json
import random

import pytest

from bench_figures import (
    good_work_by_second,
    link_bytes,
    needed_prefill,
    quantile,
    tier_figures,
)
from bench_load import CUT, RUN, UNFINISHED, Answer, RequestGenerator, make_arrivals
from bench_rig import bench_deployment
from bench_scenarios import SWING_LOAD, swing_load
from pomelothread.operators.planning import parse_sheet
from standins.text import prompt_words


def generator(salt="a", has_long_prefixes=False):
    sheet = parse_sheet(bench_deployment("saurashtra").sheet.read_bytes()).unwrap()
    rng = random.Random(7)
    return RequestGenerator("saurashtra", sheet, rng, salt, has_long_prefixes)


def answers(ends):
    """Return answers of one tier, from pairs of outcome and latency."""
    source = generator()
    made = []
    while len(made) < len(ends):
        request = source.make("drafting", 1.0)
        if request.tier == "checks":
            outcome, latency_s = ends[len(made)]
            made.append(Answer(request, outcome, 1.0 + latency_s, 100, {2: 5}))
    return made


@pytest.mark.parametrize(
    ("ends", "goodput"),
    [
        ([(RUN, 1.0), (RUN, 15.0)], 1.0),
        # A late or incomplete response does not count.
        ([(RUN, 1.0), (RUN, 15.1)], 0.5),
        ([(RUN, 1.0), (CUT, 1.0)], 0.5),
        ([(UNFINISHED, float("inf"))], 0.0),
    ],
)
def test_goodput_counts_whole_responses_within_the_deadline(ends, goodput):
    figures = tier_figures(answers(ends))["checks@drafting"]
    assert figures["goodput_ratio"] == goodput
    assert figures["n_offered"] == len(ends)


def test_quantile_is_one_of_the_values_even_for_few_of_them():
    # An interpolated p99 would be a latency that no request had.
    assert quantile([float(n) for n in range(1, 101)], 0.99) == 99.0
    assert quantile([5.0, 7.0], 0.999) == 7.0


def test_late_work_is_not_delivered_work():
    assert good_work_by_second(answers([(RUN, 99.0)])) == {}
    assert good_work_by_second(answers([(RUN, 1.0)])) == {"drafting": {2: 5}}


def test_a_shared_prefix_is_needed_once():
    first, second = answers([(RUN, 1.0), (RUN, 1.0)])
    prefixes = {a.request.prefix: a.request.n_prefix for a in (first, second)}
    own = first.request.n_suffix + second.request.n_suffix
    assert needed_prefill([first, second]) == own + sum(prefixes.values())
    # All prefill of a late request counts as wasted.
    assert needed_prefill(answers([(RUN, 99.0)])) == 0


def test_link_bytes_scale_with_the_work_of_remote_upstreams():
    done = answers([(RUN, 1.0)])
    request = done[0].request
    counted = {"n_received": 2, "work": 3 * request.n_output}
    expected = 2 * len(request.body) + 3 * done[0].n_bytes
    assert link_bytes([request], done, {"drafting": counted}) == expected
    assert link_bytes([request], done, {"press-desk": counted}) == 0


def test_both_policies_get_the_same_load_without_a_shared_prefix():
    def load(salt):
        source, rng = generator(salt, has_long_prefixes=True), random.Random(3)
        return make_arrivals(source, rng, {"drafting": 30.0}, swing_load, 14.0)

    ours, naive = load("ours"), load("naive")
    assert [(r.at_s, r.tier, r.n_output, r.n_prefix, r.n_suffix) for r in ours] == [
        (r.at_s, r.tier, r.n_output, r.n_prefix, r.n_suffix) for r in naive
    ]
    assert not {r.prefix for r in ours} & {r.prefix for r in naive}
    n_at_peak = sum(4.0 <= r.at_s < 9.0 for r in ours)
    assert n_at_peak > 5 * 30.0 * SWING_LOAD * 0.8


def test_prompts_have_the_number_of_tokens_that_is_counted():
    request = generator().make("drafting", 0.0)
    words = prompt_words(json.loads(request.body)["messages"])
    assert len(words) == request.n_prefix + request.n_suffix
