"""Runs the command `puffindeck` as `python -m puffindeck.cli`."""

from puffindeck.cli.commands import main

if __name__ == "__main__":
    main(prog_name="puffindeck")
