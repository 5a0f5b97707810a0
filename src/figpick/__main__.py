"""Entry point of ``python -m figpick``."""

from .cli import main

if __name__ == "__main__":
    main()
