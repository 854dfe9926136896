"""Any JSON value, with those that readers handle wrongly more often than others."""

from hypothesis import strategies as st

ODD_VALUES = ["\ud800", "10.0.0.1:80", "[::1]:1", "ready", "a\r\n", "0", 10**400, 1e300]


def any_json(names):
    """Return a strategy for values whose objects have these names, among others."""
    leaves = (
        st.none()
        | st.booleans()
        | st.integers()
        | st.integers(-(1 << 80), 1 << 80)
        | st.floats()
        | st.text(max_size=9)
        | st.sampled_from(ODD_VALUES)
    )
    return st.recursive(
        leaves,
        lambda inner: (
            st.lists(inner, max_size=3)
            | st.dictionaries(st.sampled_from(names) | st.text(max_size=3), inner)
        ),
        max_leaves=8,
    )
