"""The terms of a class of service, and the defaults of omitted terms.

By default, the requests of a class are neither retried once they may have run nor resumed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping
    from typing import Any

    Terms = Mapping[str, Any]


def may_retry(terms: Terms) -> bool:
    """Return whether a request may run again after a replica may have started it."""
    return bool(terms.get("repeatable", False))


def may_resume(terms: Terms) -> bool:
    """Return whether a client may resume an interrupted stream of the class."""
    return bool(terms.get("resumable", False))


def may_fail_over(terms: Terms, has_pieces: object) -> bool:
    """Return whether a stream may fail over to another replica once one may have started it.

    `has_pieces` is truthy if the stream has produced pieces; failing over then also resumes it.
    """
    return may_retry(terms) and (not has_pieces or may_resume(terms))
