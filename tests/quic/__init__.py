"""Tests of the QUIC front."""
