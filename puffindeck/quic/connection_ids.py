"""Connection ids that encode their endpoint, as in the QUIC-LB draft (draft-ietf-quic-load-balancers).

The first octet has three bits with the configuration's id and five bits that hold the length or are random.
The server id and a nonce follow, in the clear or encrypted with a key that the endpoints and the balancers
share.
"""

from __future__ import annotations

import secrets

from cryptography.hazmat.primitives.ciphers import Cipher, algorithms, modes

CONFIG_IDS = 7  # the eighth codepoint marks connection ids that encode no endpoint
KEY_OCTETS = 16
BLOCK_OCTETS = 16  # an AES block; if server id and nonce fill one block, a single pass encrypts both
MAX_SERVER_ID_OCTETS = 15
MIN_NONCE_OCTETS = 4
MAX_NONCE_OCTETS = 18
MAX_SERVER_ID_AND_NONCE_OCTETS = 19
ENCRYPT_PASSES = (1, 2, 3, 4)
DECRYPT_PASSES = (4, 3, 2, 1)


class ConnectionIds:
    """Encodes and decodes the connection ids of one QUIC-LB configuration."""

    def __init__(self, config_id: int, server_id_octets: int, nonce_octets: int, key: bytes = b"") -> None:
        """An empty `key` leaves server id and nonce unencrypted.

        Raises ValueError for a configuration id or lengths that the draft does not allow.
        """
        _check_parameters(config_id, server_id_octets, nonce_octets, key)
        self.config_id = config_id
        self.server_id_octets = server_id_octets
        self.nonce_octets = nonce_octets
        self.length = 1 + server_id_octets + nonce_octets
        # The mode is ECB, because the draft encrypts each block on its own.
        cipher = Cipher(algorithms.AES(key), modes.ECB()) if key else None
        self._encryptor = cipher.encryptor() if cipher else None
        self._decryptor = cipher.decryptor() if cipher else None

    def server_id(self, connection_id: bytes) -> bytes | None:
        """Return the server id in a connection id; None if its configuration or length differs."""
        if len(connection_id) != self.length or connection_id[0] >> 5 != self.config_id:
            return None
        plain = connection_id[1:]
        if self._decryptor is not None:
            one_block = len(plain) == BLOCK_OCTETS
            plain = self._decryptor.update(plain) if one_block else self._feistel(plain, DECRYPT_PASSES)
        return plain[: self.server_id_octets]

    def issue(self, server_id: bytes, nonce: bytes | None = None) -> bytes:
        """Return a connection id that encodes an endpoint's server id, as the endpoint itself issues them.

        Without a `nonce`, a random one is used. Raises ValueError if the server id's length is not the
        configured one.
        """
        if len(server_id) != self.server_id_octets:
            raise ValueError(f"the server id must have {self.server_id_octets} octets")
        text = server_id + (nonce if nonce is not None else secrets.token_bytes(self.nonce_octets))
        if self._encryptor is not None:
            one_block = len(text) == BLOCK_OCTETS
            text = self._encryptor.update(text) if one_block else self._feistel(text, ENCRYPT_PASSES)
        return bytes([self.config_id << 5 | self.length - 1]) + text

    def _feistel(self, text: bytes, passes: tuple[int, ...]) -> bytes:
        """Apply the draft's four-pass Feistel network, with its passes in the given order.

        If the length is odd, each half has four bits of the middle octet.
        """
        assert self._encryptor is not None
        size = len(text)
        odd = size % 2 == 1
        half = (size + 1) // 2
        left = bytearray(text[:half])
        right = bytearray(text[size - half :])
        if odd:
            left[-1] &= 0xF0
            right[0] &= 0x0F
        for pass_number in passes:
            source, target = (left, right) if pass_number % 2 else (right, left)
            block = bytes(source).ljust(14, b"\0") + bytes([size, pass_number])
            mask = self._encryptor.update(block)
            for i in range(half):
                target[i] ^= mask[i]
            if odd:
                left[-1] &= 0xF0
                right[0] &= 0x0F
        if odd:
            return bytes(left[:-1]) + bytes([left[-1] | right[0]]) + bytes(right[1:])
        return bytes(left + right)


def _check_parameters(config_id: int, server_id_octets: int, nonce_octets: int, key: bytes) -> None:
    if not 0 <= config_id < CONFIG_IDS:
        raise ValueError("config_id must be 0 to 6")
    server_id_fits = 1 <= server_id_octets <= MAX_SERVER_ID_OCTETS
    nonce_fits = MIN_NONCE_OCTETS <= nonce_octets <= MAX_NONCE_OCTETS
    both_fit = server_id_octets + nonce_octets <= MAX_SERVER_ID_AND_NONCE_OCTETS
    if not (server_id_fits and nonce_fits and both_fit):
        raise ValueError(
            "server_id_length must be 1 to 15 and nonce_length 4 to 18, with a sum of 19 at most"
        )
    if key and len(key) != KEY_OCTETS:
        raise ValueError("key must have 16 octets")
