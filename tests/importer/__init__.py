"""Tests of importer."""
