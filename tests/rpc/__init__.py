"""Tests of the RPC plug-ins."""
