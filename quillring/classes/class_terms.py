"""What a class of service allows; here, and nowhere else, stand the values of what it leaves out.

A class that says nothing allows nothing: its work neither runs twice nor is resumed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping
    from typing import Any

    Terms = Mapping[str, Any]


def may_repeat(terms: Terms) -> bool:
    """Tell whether work of the class may run again after a replica may have begun it."""
    return bool(terms.get("repeatable", False))


def may_resume(terms: Terms) -> bool:
    """Tell whether a sender may pick up a cut stream of the class."""
    return bool(terms.get("resumable", False))


def may_run_on(terms: Terms, has_pieces: object) -> bool:
    """Tell whether a stream may go on at another replica once one may have begun it.

    `has_pieces` tells whether it has pieces already: then going on is a resumption as well.
    """
    return may_repeat(terms) and (not has_pieces or may_resume(terms))
