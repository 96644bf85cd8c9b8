"""Runs the whole path on loopback and prints what each step showed."""

import sys


def main() -> int:
    """Run all steps and return the exit code."""
    print("The demo has no step yet.")
    return 1


if __name__ == "__main__":
    sys.exit(main())
