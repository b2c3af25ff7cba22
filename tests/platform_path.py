"""Put the platform's flat folder on Python's path, as its programs do."""

import sys
from pathlib import Path

FOLDER = str(Path(__file__).parent.parent / "platform")
if FOLDER not in sys.path:
    sys.path.insert(0, FOLDER)
