"""Runs the command line as ``python -m bilberrydeal.cli``."""

import sys

from . import main

sys.exit(main())
