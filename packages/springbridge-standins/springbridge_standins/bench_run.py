"""One run of the bench, in a process of its own; prints the rows as JSON."""

import asyncio
import json
import sys
from dataclasses import asdict

from springbridge_standins.bench import run_one

if __name__ == "__main__":
    found = asyncio.run(run_one(*sys.argv[1:4]))
    print(json.dumps([asdict(row) for row in found]))
