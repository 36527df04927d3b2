"""Counts per second, over the logs of all balancers of a fleet, what no single log shows.

Usage: python3 count.py FOLDER. The folder holds one NAME.log for each balancer, written with GW_LOG=debug, each line
with the seconds since the start in front. Balancers that share an upstream with n0 are the front, the others the records.
"""
import collections
import glob
import os
import sys

COLUMNS = ["sent", "new", "retry", "Ok", "Error", "Full", "Timeout", "ConnectFailed", "Reset", "Cancelled", "ejected",
           "=served", "=refused", "=failed", "=gone"]


def events(folder):
    for path in glob.glob(os.path.join(folder, "*.log")):
        name = os.path.basename(path)[:-4]
        for line in open(path):
            parts = line.rstrip("\n").split(" ", 5)
            if len(parts) == 6 and parts[0].replace(".", "", 1).isdigit():
                message, *pairs = parts[5].split(", ")
                yield float(parts[0]), name, message, dict(p.partition(": ")[::2] for p in pairs)


def main(folder):
    found = list(events(folder))
    met = collections.defaultdict(set)
    for _, name, message, fields in found:
        if message == "sent":
            met[name].add(fields["upstream"])
    front = {name for name in met if met[name] & met["n0"]}
    rows = {True: collections.defaultdict(collections.Counter), False: collections.defaultdict(collections.Counter)}
    for at, name, message, fields in found:
        row = rows[name in front][int(at)]
        if message == "sent":
            row["sent"] += 1
            row["new"] += fields["open"] == "false"
            row["retry"] += fields["attempt"] != "0"
        elif message == "ended":
            row[fields["code"]] += 1
        elif message == "request":
            row["=" + fields["outcome"]] += 1
        row["ejected"] += " ejected" in message
    for is_front, title in ((True, "front"), (False, "records")):
        print(title, "  s " + " ".join("%8s" % c[:8] for c in COLUMNS), sep="\n")
        for second, row in sorted(rows[is_front].items()):
            print("%4d " % second + " ".join("%8d" % row[c] for c in COLUMNS))


main(sys.argv[1])
