"""Guards against callers that move needlessly when the share changes."""

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from crocusproxy.locator.stickiness import goes_to_older_balancer

callers = st.text()
shares = st.floats(0, 1)


@given(callers, shares, shares)
@example('caller', 0.0, 5e-324)
def test_raising_the_share_moves_callers_only_to_the_older_balancer(
    caller, first, second
):
    low, high = sorted((first, second))
    if goes_to_older_balancer('redaccion', caller, low):
        assert goes_to_older_balancer('redaccion', caller, high)


@given(callers)
def test_share_of_zero_moves_no_caller_and_one_moves_all(caller):
    assert not goes_to_older_balancer('redaccion', caller, 0.0)
    assert goes_to_older_balancer('redaccion', caller, 1.0)


@pytest.mark.parametrize('share', [0.01, 0.3, 0.5, 0.97])
def test_the_share_of_many_callers_is_near_the_setting(share):
    callers = 20_000
    older_count = sum(
        goes_to_older_balancer('redaccion', f'c{number}', share)
        for number in range(callers)
    )
    assert older_count / callers == pytest.approx(share, abs=0.02)
