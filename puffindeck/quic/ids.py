"""Connection ids that name their box: the QUIC-LB draft (draft-ietf-quic-load-balancers).

First octet: three bits for the configuration in force, five for the length or at random. Then the server id
and a nonce, in the clear, or encrypted with a key that the boxes and the balancers share.
"""

from __future__ import annotations

import secrets

from cryptography.hazmat.primitives.ciphers import Cipher, algorithms, modes

ROTATIONS = 7  # the eighth codepoint says that an id names no box


class Ids:
    """One configuration: how many octets name a box, how many are the nonce, and the key, if any."""

    def __init__(self, config: int, server_octets: int, nonce_octets: int, key: bytes = b"") -> None:
        if not 0 <= config < ROTATIONS:
            raise ValueError("config_id must be 0 to 6")
        if not (1 <= server_octets <= 15 and 4 <= nonce_octets <= 18 and server_octets + nonce_octets <= 19):
            raise ValueError("server_id_length must be 1 and nonce_length 4 or more, 19 in all at most")
        if key and len(key) != 16:
            raise ValueError("key must be 16 octets")
        self.config, self.server_octets, self.nonce_octets = config, server_octets, nonce_octets
        self.length = 1 + server_octets + nonce_octets
        cipher = Cipher(algorithms.AES(key), modes.ECB()) if key else None  # each block is used as a hash
        self._encryptor = cipher.encryptor() if cipher else None
        self._decryptor = cipher.decryptor() if cipher else None

    def server(self, cid: bytes) -> bytes | None:
        """The server id in a connection id, or None in one of another configuration or length."""
        if len(cid) != self.length or cid[0] >> 5 != self.config:
            return None
        plain = cid[1:]
        if self._decryptor is not None:
            plain = self._decryptor.update(plain) if len(plain) == 16 else self._passes(plain, (4, 3, 2, 1))
        return plain[: self.server_octets]

    def issue(self, server: bytes, nonce: bytes | None = None) -> bytes:
        """A connection id that names a box, as the box itself makes them."""
        if len(server) != self.server_octets:
            raise ValueError(f"a server id here has {self.server_octets} octets")
        plain = server + (nonce if nonce is not None else secrets.token_bytes(self.nonce_octets))
        if self._encryptor is not None:
            plain = self._encryptor.update(plain) if len(plain) == 16 else self._passes(plain, (1, 2, 3, 4))
        return bytes([self.config << 5 | self.length - 1]) + plain

    def _passes(self, text: bytes, turns: tuple[int, ...]) -> bytes:
        """The draft's four passes of a Feistel network; halves of an odd length share its middle octet."""
        assert self._encryptor is not None
        size, odd = len(text), len(text) % 2
        half = (size + 1) // 2
        left, right = bytearray(text[:half]), bytearray(text[size - half :])
        if odd:
            left[-1] &= 0xF0
            right[0] &= 0x0F
        for turn in turns:
            source, target = (left, right) if turn % 2 else (right, left)
            block = bytes(source).ljust(14, b"\0") + bytes([size, turn])
            mask = self._encryptor.update(block)
            for i in range(half):
                target[i] ^= mask[i]
            if odd:
                left[-1] &= 0xF0
                right[0] &= 0x0F
        if odd:
            return bytes(left[:-1]) + bytes([left[-1] | right[0]]) + bytes(right[1:])
        return bytes(left + right)
