"""Shows per second, over the logs of all balancers of a fleet, how their shared discovery service keeps up.

Usage: python3 discovery_queue.py FOLDER. The folder holds one NAME.log for each balancer, each line with the seconds
since the start in front. A call is answered by the first hosts after it; later hosts are changes on the open watch.
"""
import collections
import glob
import os
import statistics
import sys

ASKED, HOSTS, FAILED = "discovery is asked", "hosts", "the watch on discovery failed"

# The first line of a process; a log goes on with the process that took the place of one that ended.
STARTED = "listening"

# A call that fails within this time (seconds) was refused without waiting.
AT_ONCE = 0.1

COLUMNS = ["calls", "answered", "at once", "late", "waiting", "median", "longest", "entries", "changes", "lost"]


def events(path):
    """The time, message and fields of each line on discovery, and of each start."""
    with open(path, errors="replace") as lines:
        for line in lines:
            parts = line.rstrip("\n").split(" ", 5)
            if len(parts) < 6 or not parts[0].replace(".", "", 1).isdigit():
                continue
            message, *pairs = parts[5].split(", ")
            if message in (ASKED, HOSTS, FAILED, STARTED):
                yield float(parts[0]), message, dict(p.partition(": ")[::2] for p in pairs)


def count_entries(fields):
    """The number of entries of a list; 0 where the line is cut off."""
    text = fields.get("entries", "")
    return int(text) if text.isdigit() else 0


def follow(path, rows, waits, calls):
    """Adds one balancer's events: counts and waits by second, and when each call was made and ended."""
    asked, is_open = None, False
    for at, message, fields in events(path):
        row = rows[int(at)]
        if message == STARTED:
            if asked is not None:
                calls.append((asked, at))
            asked, is_open = None, False
        elif message == ASKED:
            row["calls"] += 1
            asked, is_open = at, False
        elif message == HOSTS and asked is not None:
            row["answered"] += 1
            row["entries"] += count_entries(fields)
            waits[int(at)].append(at - asked)
            calls.append((asked, at))
            asked, is_open = None, True
        elif message == HOSTS:
            row["changes"] += 1
        elif asked is not None:
            row["at once" if at - asked < AT_ONCE else "late"] += 1
            calls.append((asked, at))
            asked = None
        elif is_open:
            row["lost"] += 1
            is_open = False
    if asked is not None:
        calls.append((asked, float("inf")))


def waiting_at(calls, second):
    """How many calls are under way at the end of this second."""
    return sum(made < second + 1 <= ended for made, ended in calls)


def main(folder):
    rows, waits, calls = collections.defaultdict(collections.Counter), collections.defaultdict(list), []
    paths = glob.glob(os.path.join(folder, "*.log"))
    for path in paths:
        follow(path, rows, waits, calls)
    print("%d logs; waits in seconds" % len(paths))
    print("   s " + " ".join("%8s" % column for column in COLUMNS))
    for second in range(max(rows, default=-1) + 1):
        row = rows[second]
        row["waiting"] = waiting_at(calls, second)
        if waits[second]:
            row["median"], row["longest"] = statistics.median(waits[second]), max(waits[second])
        form = {True: "%8.2f", False: "%8d"}
        print("%4d " % second + " ".join(form[isinstance(row[c], float)] % row[c] for c in COLUMNS))


if len(sys.argv) != 2:
    sys.exit(__doc__)
main(sys.argv[1])
