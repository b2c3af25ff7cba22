"""Add the platform folder to `sys.path`, as the platform's programs do."""

import sys
from pathlib import Path

FOLDER = str(Path(__file__).parent.parent / "platform")
if FOLDER not in sys.path:
    sys.path.insert(0, FOLDER)
