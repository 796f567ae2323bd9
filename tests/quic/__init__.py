"""Tests of quic."""
