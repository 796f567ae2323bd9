"""Hashes of a member table, one per bucket of names, by which two members compare their tables."""

from xxhash import xxh32_intdigest

from puffindeck_membership.messages import MemberUpdate, Phase

BUCKET_COUNT = 32


def bucket_of(name: str) -> int:
    """Return the index of the bucket that a member's name belongs to."""
    return xxh32_intdigest(name.encode()) % BUCKET_COUNT


def member_hash(update: MemberUpdate) -> int:
    """Return the hash of the state that must be equal in all tables.

    The incarnation of a living member is left out, because tables may differ in it.
    """
    incarnation = update.incarnation if update.phase != Phase.ALIVE else 0
    return xxh32_intdigest(f"{update.name}\0{update.phase}\0{incarnation}\0{update.process_incarnation}".encode())


class BucketHashes:
    """The hash of each bucket: the exclusive or of its members' hashes, updated whenever a member changes."""

    def __init__(self) -> None:
        self.hashes = [0] * BUCKET_COUNT

    def replace(self, previous: MemberUpdate | None, current: MemberUpdate | None) -> None:
        """Replace a member's previous state by its current one.

        `previous` is None for a member that is added to the table, `current` for one that is removed.
        """
        for update in (previous, current):
            if update is not None:
                self.hashes[bucket_of(update.name)] ^= member_hash(update)

    def with_local(self, local: MemberUpdate) -> list[int]:
        """Return the hashes including the local member, which its own table does not contain."""
        hashes = list(self.hashes)
        hashes[bucket_of(local.name)] ^= member_hash(local)
        return hashes

    def differing_buckets(self, other: list[int], local: MemberUpdate) -> set[int]:
        """Return the buckets whose hashes differ from another member's; all buckets if the counts differ."""
        if len(other) != BUCKET_COUNT:
            return set(range(BUCKET_COUNT))
        pairs = zip(self.with_local(local), other, strict=True)
        return {bucket for bucket, (own_hash, other_hash) in enumerate(pairs) if own_hash != other_hash}
