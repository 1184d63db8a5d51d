"""Guards against requests that are lost or counted twice when added up."""

from datetime import datetime, timedelta, timezone

from hypothesis import given
from hypothesis import strategies as st

from crocusproxy.burn.windows import (
    LONG_WINDOW,
    WINDOW,
    WindowCounts,
    merge,
    roll_up,
)

NINE = datetime(2026, 1, 1, 9, tzinfo=timezone.utc)

entries = st.lists(
    st.builds(
        lambda minute, good, bad: WindowCounts(
            NINE + minute * WINDOW, WINDOW, good, bad
        ),
        st.integers(0, 300),
        st.integers(0, 9),
        st.integers(0, 9),
    )
)


def totals(counts):
    counts = tuple(counts)
    return (
        sum(entry.good for entry in counts),
        sum(entry.bad for entry in counts),
    )


def test_equal_windows_of_two_instances_are_added():
    one = WindowCounts(NINE, WINDOW, 10, 1)
    other = WindowCounts(NINE, WINDOW, 5, 2)
    assert merge((one, other)) == (WindowCounts(NINE, WINDOW, 15, 3),)


@given(entries, entries)
def test_merging_in_any_order_and_grouping_loses_no_request(left, right):
    merged = merge((*left, *right))
    assert totals(merged) == totals((*left, *right))
    assert merged == merge((*merge(right), *merge(left)))


@given(entries, st.integers(0, 300))
def test_rolling_up_loses_no_request_and_splits_no_hour(counts, minute):
    rolled = roll_up(counts, NINE + minute * WINDOW)
    assert totals(rolled) == totals(counts)
    long_hours = {e.start for e in rolled if e.length == LONG_WINDOW}
    short = (entry.start for entry in rolled if entry.length == WINDOW)
    assert not long_hours & {
        start - (start - NINE) % LONG_WINDOW for start in short
    }


def test_windows_of_different_length_are_kept_apart():
    short = WindowCounts(NINE, WINDOW, 1, 0)
    long = WindowCounts(NINE, timedelta(hours=1), 1, 0)
    assert merge((long, short)) == (short, long)
