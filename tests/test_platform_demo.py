"""The gateway process serves requests, restarts after a kill and stops gracefully."""

import asyncio

from platform_demo import N_CALLERS, N_REQUESTS, Demo


def test_the_demo_finds_no_problem_in_a_real_gateway_process(tmp_path):
    demo = Demo(tmp_path)
    assert asyncio.run(demo.run()) == []
    assert demo.results.by_status == {200: 4 * N_CALLERS * N_REQUESTS}
    log = (tmp_path / "gateway.log").read_text(encoding="utf-8")
    assert log.count('"name":"GATEWAY_STARTED"') == 2
    assert log.count('"name":"GATEWAY_STOPPED"') == 1
