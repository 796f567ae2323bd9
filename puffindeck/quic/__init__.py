"""The QUIC front: datagrams passed on undecrypted, by connection id. docs/quic.md describes it."""
