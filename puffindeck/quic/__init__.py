"""The QUIC front, which forwards datagrams by connection id without decrypting them. See docs/quic.md."""
