"""Services kept inside their regions. docs/design/residency.md has the ways weighed."""

from puffindeck_residency.books import Books, Seen
from puffindeck_residency.errors import BooksDiffer, BookUnreadable, ResidencyError
from puffindeck_residency.regional import RegionalBalancer
from puffindeck_residency.rules import Book, Service, Verdict

__all__ = [
    "Book",
    "BookUnreadable",
    "Books",
    "BooksDiffer",
    "RegionalBalancer",
    "ResidencyError",
    "Seen",
    "Service",
    "Verdict",
]
