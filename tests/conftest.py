"""Hypothesis profiles of all tests.

By default the examples are the same in each run; ``make search`` generates
random ones instead.
"""

import os

from hypothesis import settings

settings.register_profile('repeatable', derandomize=True, deadline=None)
settings.register_profile('search', deadline=None, print_blob=True)
settings.load_profile(os.environ.get('HYPOTHESIS_PROFILE', 'repeatable'))
