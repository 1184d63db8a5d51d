"""Settings of all tests.

Hypothesis runs the same examples each time, so that results are repeatable;
``make search`` runs random ones instead.
"""

import os

from hypothesis import settings

settings.register_profile('repeatable', derandomize=True, deadline=None)
settings.register_profile('search', deadline=None, print_blob=True)
settings.load_profile(os.environ.get('HYPOTHESIS_PROFILE', 'repeatable'))
