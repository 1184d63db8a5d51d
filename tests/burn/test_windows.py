"""Guards against requests that are lost or counted twice in merges."""

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

NINE_AM = datetime(2026, 1, 1, 9, tzinfo=timezone.utc)

entries = st.lists(
    st.builds(
        lambda minute, good, bad: WindowCounts(
            NINE_AM + minute * WINDOW, WINDOW, good, bad
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
    one = WindowCounts(NINE_AM, WINDOW, 10, 1)
    other = WindowCounts(NINE_AM, WINDOW, 5, 2)
    assert merge((one, other)) == (WindowCounts(NINE_AM, WINDOW, 15, 3),)


@given(entries, entries)
def test_merging_is_associative_and_loses_no_request(first, second):
    merged = merge((*first, *second))
    assert totals(merged) == totals((*first, *second))
    assert merged == merge((*merge(second), *merge(first)))


@given(entries, st.integers(0, 300))
def test_roll_up_loses_no_request_and_splits_no_hour(counts, minute):
    rolled = roll_up(counts, NINE_AM + minute * WINDOW)
    assert totals(rolled) == totals(counts)
    long_hours = {e.start for e in rolled if e.length == LONG_WINDOW}
    short = (entry.start for entry in rolled if entry.length == WINDOW)
    assert not long_hours & {
        start - (start - NINE_AM) % LONG_WINDOW for start in short
    }


def test_windows_of_different_length_are_not_merged():
    short = WindowCounts(NINE_AM, WINDOW, 1, 0)
    long = WindowCounts(NINE_AM, timedelta(hours=1), 1, 0)
    assert merge((long, short)) == (short, long)
