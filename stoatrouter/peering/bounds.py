"""Bounds on the texts and numbers of operators' calls. No I/O.

What a call brings goes into the log, onto every head's disk, and into answers: so each text has a bound, and
the error names the field, what was found and what is allowed. Bounds are checked where a call comes in and
nowhere else: what is in the log already is applied as it is, the same at every head. Lengths are in
characters.
"""

from __future__ import annotations

MAX_ID_LENGTH = 200  # of edits, undos and entries
MAX_PERSON_LENGTH = 100  # author, by
MAX_REASON_LENGTH = 1_000  # reason, why
MAX_CUSTOMER_LENGTH = 100
MAX_VOLUME_LENGTH = 100
MAX_VOLUMES = 10_000  # of one customer
MAX_HEAD_LENGTH = 24  # as the settings have it
MAX_FILE_NAME_LENGTH = 104
MAX_QUOTED_LENGTH = 100  # of what was found that an error repeats
MAX_ERROR_LENGTH = 500
# In millionths of a credit unit. The log's integers have 64 bits: an account that was paid the largest
# amount 900,000 times over is still within them.
MAX_AMOUNT = 10**13
MAX_VERSION = 10**15
MAX_DIGITS_SHOWN = 30  # of a number that an error repeats


class OutOfBoundsError(ValueError):
    """A call's field is too long, too large or empty; the text names it, what was found and is allowed."""

    def __init__(self, field: str, found: str, allowed: str) -> None:
        """Word the error.

        Args:
            field: The field, as the caller names it.
            found: What the call brought, short enough to repeat.
            allowed: What would be right.
        """
        super().__init__(f"{field}: found {found} (allowed: {allowed})")


def quote_found(text: str) -> str:
    """Quote a text for an error that repeats it: never longer than a line."""
    return repr(text if len(text) <= MAX_QUOTED_LENGTH else f"{text[:MAX_QUOTED_LENGTH]}...")


def check_text(field: str, text: str, max_length: int, min_length: int = 0) -> None:
    """Raise OutOfBoundsError unless the text's length lies between the two."""
    if not min_length <= len(text) <= max_length:
        found = "nothing" if not text else f"{len(text)} characters"
        raise OutOfBoundsError(field, found, f"{min_length} to {max_length} characters")


def check_number(field: str, number: int, maximum: int, minimum: int = 0) -> None:
    """Raise OutOfBoundsError unless the number lies between the two."""
    if not minimum <= number <= maximum:
        short = abs(number) < 10**MAX_DIGITS_SHOWN
        found = str(number) if short else f"a number of more than {MAX_DIGITS_SHOWN} digits"
        raise OutOfBoundsError(field, found, f"{minimum} to {maximum}")


def check_volumes(volumes: list[str]) -> None:
    """Raise OutOfBoundsError unless a customer may have these volumes."""
    if len(volumes) > MAX_VOLUMES:
        raise OutOfBoundsError("volumes", f"{len(volumes)} of them", f"up to {MAX_VOLUMES}")
    for number, volume in enumerate(volumes):
        check_text(f"volumes[{number}]", volume, MAX_VOLUME_LENGTH, min_length=1)


def check_id(field: str, text: str) -> None:
    """Raise OutOfBoundsError unless the text may be a caller's id."""
    check_text(field, text, MAX_ID_LENGTH, min_length=1)


def check_head(field: str, name: str) -> None:
    """Raise OutOfBoundsError unless a head may be named so."""
    check_text(field, name, MAX_HEAD_LENGTH, min_length=1)


def check_customer(name: str) -> None:
    """Raise OutOfBoundsError unless a customer may be named so."""
    check_text("customer", name, MAX_CUSTOMER_LENGTH, min_length=1)


def truncate_error(error: Exception) -> str:
    """The text of an error about a call's form, which may repeat a name that the caller made up."""
    return str(error)[:MAX_ERROR_LENGTH]
