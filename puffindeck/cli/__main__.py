"""`python -m puffindeck.cli`: the same as the command `puffindeck`."""

from puffindeck.cli.commands import main

if __name__ == "__main__":
    main(prog_name="puffindeck")
