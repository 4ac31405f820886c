"""How long the texts of operators' calls may be, and how large their numbers. No I/O.

What a call brings goes into the log, onto every head's disk, and into answers: so each text has a bound, and
the error names the field, what was found and what is allowed. Bounds are asked for where a call comes in and
nowhere else: what is in a log already is applied as it is, the same at every head.
"""

from __future__ import annotations

LONGEST_ID = 200  # characters; of edits, undos and entries
LONGEST_PERSON = 100  # author, by
LONGEST_REASON = 1_000  # reason, why
LONGEST_CUSTOMER = 100
LONGEST_VOLUME = 100
MOST_VOLUMES = 10_000  # of one customer
LONGEST_HEAD = 24  # as the settings have it
LONGEST_FILE_NAME = 104
LONGEST_SHOWN = 100  # characters of what was found that an error repeats
LONGEST_ERROR = 500
# Amounts, in millionths of a credit unit. The log's integers have 64 bits: an account that was paid in the
# largest amount 900,000 times over is still within them.
LARGEST_AMOUNT = 10**13
LARGEST_VERSION = 10**15


class OutOfBounds(ValueError):
    """A call's field is too long, too large or empty; the text names it, what was found and is allowed."""

    def __init__(self, field: str, found: str, allowed: str) -> None:
        super().__init__(f"{field}: found {found} (allowed: {allowed})")


def shown(text: str) -> str:
    """What was found, as an error repeats it: never longer than a line."""
    return repr(text if len(text) <= LONGEST_SHOWN else f"{text[:LONGEST_SHOWN]}...")


def check_text(field: str, text: str, most: int, least: int = 0) -> None:
    """Raise OutOfBounds unless the text has so many characters."""
    if not least <= len(text) <= most:
        found = "nothing" if not text else f"{len(text)} characters"
        raise OutOfBounds(field, found, f"{least} to {most} characters")


def check_number(field: str, number: int, most: int, least: int = 0) -> None:
    """Raise OutOfBounds unless the number lies between."""
    if not least <= number <= most:
        found = str(number) if abs(number) < 10**30 else "a number of more than 30 digits"
        raise OutOfBounds(field, found, f"{least} to {most}")


def check_volumes(volumes: list[str]) -> None:
    """Raise OutOfBounds unless a customer may have these volumes."""
    if len(volumes) > MOST_VOLUMES:
        raise OutOfBounds("volumes", f"{len(volumes)} of them", f"up to {MOST_VOLUMES}")
    for number, volume in enumerate(volumes):
        check_text(f"volumes[{number}]", volume, LONGEST_VOLUME, least=1)


def check_id(field: str, text: str) -> None:
    """An id of the caller's."""
    check_text(field, text, LONGEST_ID, least=1)


def check_head(field: str, name: str) -> None:
    """The name of a head."""
    check_text(field, name, LONGEST_HEAD, least=1)


def error_text(error: Exception) -> str:
    """An error of a call's form, which may repeat a name that the caller made up."""
    return str(error)[:LONGEST_ERROR]
