"""Loopback addresses of soaks: 127.1.N.x, with one N for each run that may be under way beside others."""

from course import SHAPES
from planted import PLANTED

# Apart from those of other live tests.
FIRST_NET = 140
NETS_OF_A_SHAPE = 16
FIRST_PLANTED_NET = FIRST_NET + NETS_OF_A_SHAPE * len(SHAPES)
LAST_NET = 250  # 251 is of links_test.py


def net_of(shape, seed, planted=None):
    """The third part of a run's addresses. A planted fault has its own, whatever its shape and seed."""
    if planted:
        return FIRST_PLANTED_NET + sorted(PLANTED).index(planted)
    return FIRST_NET + NETS_OF_A_SHAPE * sorted(SHAPES).index(shape) + seed % NETS_OF_A_SHAPE
