"""Tests of puffindeck.importer."""
