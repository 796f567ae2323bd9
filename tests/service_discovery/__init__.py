"""Tests of service_discovery."""
