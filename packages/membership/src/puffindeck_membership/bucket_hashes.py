"""Hashes of a member table, one a bucket of names: two tables are compared by them."""

from xxhash import xxh32_intdigest

from puffindeck_membership.messages import MemberUpdate, Phase

BUCKET_COUNT = 32


def bucket_of(name: str) -> int:
    """The bucket of a member, by its name."""
    return xxh32_intdigest(name.encode()) % BUCKET_COUNT


def member_hash(update: MemberUpdate) -> int:
    """The hash of what has to be the same in all tables. The incarnation of a living member may differ."""
    incarnation = update.incarnation if update.phase != Phase.ALIVE else 0
    return xxh32_intdigest(f"{update.name}\0{update.phase}\0{incarnation}\0{update.process_incarnation}".encode())


class BucketHashes:
    """The hash of each bucket: the exclusive or of its members' hashes, updated as members change."""

    def __init__(self) -> None:
        self.hashes = [0] * BUCKET_COUNT

    def replace(self, previous: MemberUpdate | None, current: MemberUpdate | None) -> None:
        """A member has changed. None stands for a member that was not in the table, or no longer is."""
        for update in (previous, current):
            if update is not None:
                self.hashes[bucket_of(update.name)] ^= member_hash(update)

    def with_local(self, local: MemberUpdate) -> list[int]:
        """The hashes that include the local member, which its own table does not contain."""
        hashes = list(self.hashes)
        hashes[bucket_of(local.name)] ^= member_hash(local)
        return hashes

    def differing_buckets(self, other: list[int], local: MemberUpdate) -> set[int]:
        """The buckets whose hashes differ from another member's; all, if that has another number of buckets."""
        if len(other) != BUCKET_COUNT:
            return set(range(BUCKET_COUNT))
        pairs = zip(self.with_local(local), other, strict=True)
        return {bucket for bucket, (own_hash, other_hash) in enumerate(pairs) if own_hash != other_hash}
