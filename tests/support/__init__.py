"""Test support that several test packages share: scripted peers, virtual gateways and stand-ins."""
