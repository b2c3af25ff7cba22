"""What a class of service allows; here, and nowhere else, stand the values of what it leaves out.

A class that says nothing allows nothing: its work neither runs twice nor is resumed.
"""


def may_repeat(promise):
    """Tell whether work of the class may run again after a replica may have begun it."""
    return promise.get("repeatable", False)


def may_resume(promise):
    """Tell whether a sender may pick up a cut stream of the class."""
    return promise.get("resumable", False)


def may_run_on(promise, held):
    """Tell whether a stream may go on at another replica once one may have begun it.

    `held` tells whether it has pieces already: then going on is a resumption as well.
    """
    return may_repeat(promise) and (not held or may_resume(promise))
