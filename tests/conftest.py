"""Settings of all property tests.

``./check`` must give the same verdict each time, so examples are drawn from a
fixed seed. To search further, run ``HYPOTHESIS_PROFILE=search pytest``; a seed
that fails there becomes an ``@example`` or a test of its own.
"""

import os

from hypothesis import HealthCheck, settings

settings.register_profile(
    "check",
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.register_profile("search", deadline=None, max_examples=2000)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "check"))
