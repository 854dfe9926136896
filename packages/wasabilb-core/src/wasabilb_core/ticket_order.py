"""The order in which tickets replace each other.

A configuration service that comes back from an older copy gives numbers out again, in a new era.
The order of a ticket is one integer of era and number, which is the number in the first era, 0.
"""

# Bits of the number. The orders of the first 511 eras are exact as JSON numbers of any engine.
NUMBER_BITS = 44
MAX_NUMBER = (1 << NUMBER_BITS) - 1
# An era has 16 bits on the links, and an order 64.
MAX_ERA = (1 << 16) - 1


def ticket_order(era: int, number: int) -> int:
    """Return the place in the order of the ticket with a number in an era."""
    return era << NUMBER_BITS | number


def ticket_era(order: int) -> int:
    """Return the era of the ticket at a place in the order."""
    return order >> NUMBER_BITS


def ticket_number(order: int) -> int:
    """Return the number of the ticket at a place in the order."""
    return order & MAX_NUMBER
