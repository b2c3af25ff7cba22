"""What a class of service allows; the defaults of omitted terms are defined only here.

A class allows nothing by default: its requests are neither run twice nor resumed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping
    from typing import Any

    Terms = Mapping[str, Any]


def may_repeat(terms: Terms) -> bool:
    """Return True if a request of the class may run again after a replica may have begun it."""
    return bool(terms.get("repeatable", False))


def may_resume(terms: Terms) -> bool:
    """Return True if a client may resume an interrupted stream of the class."""
    return bool(terms.get("resumable", False))


def may_run_on(terms: Terms, has_pieces: object) -> bool:
    """Return True if a stream may fail over to another replica once one may have begun it.

    `has_pieces` is true if the stream has pieces already: failing over then also is a resumption.
    """
    return may_repeat(terms) and (not has_pieces or may_resume(terms))
