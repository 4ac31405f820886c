"""Bounds on the texts and numbers of operators' calls. No I/O.

The content of a call goes into the log, onto every head's disk and into answers. Each text is therefore
bounded, and an error names the field, what was found and what is allowed. Bounds are checked only where a
call arrives: entries of the log are applied unchecked, so that all heads apply them alike. Lengths are in
characters.
"""

from __future__ import annotations

MAX_ID_LENGTH = 200  # of edits, undos and entries
MAX_PERSON_LENGTH = 100  # author, by
MAX_REASON_LENGTH = 1_000  # reason, why
MAX_CUSTOMER_LENGTH = 100
MAX_VOLUME_LENGTH = 100
MAX_VOLUMES = 10_000  # of one customer
MAX_HEAD_LENGTH = 24  # the same as in the settings
MAX_FILE_NAME_LENGTH = 104
MAX_QUOTED_LENGTH = 100  # of a rejected value that an error quotes
MAX_ERROR_LENGTH = 500
# In millionths of a credit unit. Integers in the log have 64 bits, which hold the sum of 900,000 payments of
# this amount.
MAX_AMOUNT = 10**13
MAX_VERSION = 10**15
MAX_DIGITS_SHOWN = 30  # of a rejected number that an error quotes


class OutOfBoundsError(ValueError):
    """A field of a call is out of bounds; the text names it, what was found and what is allowed."""

    def __init__(self, field: str, found: str, allowed: str) -> None:
        """Format the message.

        Args:
            field: The field, by the name that the caller uses.
            found: The rejected value, short enough to quote.
            allowed: What is accepted.
        """
        super().__init__(f"{field}: found {found} (allowed: {allowed})")


def quote_found(text: str) -> str:
    """Quote a text for an error message, truncated to less than a line."""
    return repr(text if len(text) <= MAX_QUOTED_LENGTH else f"{text[:MAX_QUOTED_LENGTH]}...")


def check_text(field: str, text: str, max_length: int, min_length: int = 0) -> None:
    """Raise OutOfBoundsError unless the length of the text is within the bounds."""
    if not min_length <= len(text) <= max_length:
        found = "nothing" if not text else f"{len(text)} characters"
        raise OutOfBoundsError(field, found, f"{min_length} to {max_length} characters")


def check_number(field: str, number: int, maximum: int, minimum: int = 0) -> None:
    """Raise OutOfBoundsError unless the number is within the bounds."""
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
    """Raise OutOfBoundsError unless the text is a valid id."""
    check_text(field, text, MAX_ID_LENGTH, min_length=1)


def check_head(field: str, name: str) -> None:
    """Raise OutOfBoundsError unless the name has a valid length for a head."""
    check_text(field, name, MAX_HEAD_LENGTH, min_length=1)


def check_customer(name: str) -> None:
    """Raise OutOfBoundsError unless the name has a valid length for a customer."""
    check_text("customer", name, MAX_CUSTOMER_LENGTH, min_length=1)


def truncate_error(error: Exception) -> str:
    """Return the truncated text of a decoding error, which may quote input of any length."""
    return str(error)[:MAX_ERROR_LENGTH]
