#!/usr/bin/env python3
"""The worth that a day could give with perfect decisions, from a site file alone.

usage: deploy/worth_bound.py SITE.toml... [--plays N]

Prints a row a day: the bound, its parts, and the kinds of steps whose trainers fall
behind even so. What is assumed, each to the day's advantage:

- no disruption costs anything but the closing one, in which texts stand still and after
  which they go on at once where they were; plain requests wait it out for nothing;
- an engine makes the events of a text as fast as with one request under way; no text waits
  for an engine, for weights, for its prompt or for the log;
- a step is read at the moment it is whole, and nothing but machines is paid for.

What is taken as given: a trainer has two steps under way and trains after each; a step is
whole with the groups that it waits for; lengths are drawn as the sheet says.
"""

import argparse
import math
import random
import sys
import tomllib

# A result counts in full until this long after its step's limit, in seconds (the rules).
GRACE_S = 0.7
# The span of a window, in seconds (the reports).
WINDOW_S = 2.0


def draw(rng, of):
    """A length: lognormal of the given mean, one in `tail` times `tail_x`, cut at `max`."""
    sigma = of["spread"]
    value = of["mean"] * math.exp(rng.gauss(-sigma * sigma / 2, sigma)) if sigma else of["mean"]
    if rng.random() < of.get("tail", 0.0):
        value *= of.get("tail_x", 1.0)
    return max(1.0, min(value, of["max"]))


def event_s(engine):
    """Seconds an event, alone on an engine of the usual speed."""
    return engine["stride"] * (engine["step_ms"] + engine["step_ms_per_slot"]) / 1000.0


def text_s(rng, kind, engine):
    """Seconds of one text, prompt included."""
    tokens = kind["stream"]["prompt_tokens"]["mean"]
    tokens += sum(draw(rng, part["tokens"]) for part in kind["stream"].get("chain", []))
    begin = (engine["first_ms"] + tokens / engine["prefill_tokens_per_ms"]) / 1000.0
    return begin + draw(rng, kind["stream"]["pieces"]) * event_s(engine)


def day_s(site, day):
    """Seconds of traffic, and the span in which nothing runs."""
    length = site["length_s"]
    closing = day.get("closing")
    if not closing:
        return length, None
    down = closing.get("down_s", 0.0)
    return length + down + site["bounds"]["recover_s"] + 0.5, (length + 0.5, length + 0.5 + down)


def stretched(begin, duration, pause):
    """When work of `duration` that begins at `begin` ends, if nothing runs in `pause`."""
    end = begin + duration
    if pause and begin < pause[1] and end > pause[0]:
        end += pause[1] - max(begin, pause[0])
    return end


def play(rng, site, day):
    """One draw of the day. Returns rows (kind, time, owed, earned)."""
    engines = {it["name"]: it["llm"] for it in site["services"] if it.get("llm")}
    length, pause = day_s(site, day)
    rows = []
    for kind in site["classes"]:
        lot = kind.get("lot")
        if not lot:
            continue
        groups = int(lot["groups"] * day.get("groups_x", 1.0) + 0.5)
        wanted = math.ceil(lot["want"] * groups - 1e-9)
        limit = lot["run_aim_ms"] / 1000.0 + GRACE_S
        ends = []
        trained = 0.0
        at = 0.0
        while at < length:
            n = len(ends)
            asked = at if n < 2 else max(at, ends[n - 2])
            if asked >= length:
                rows.append((kind["name"], at, wanted * kind["worth"], 0.0))
                ends.append(asked)
                at += lot["every_s"]
                continue
            whole = sorted(
                max(text_s(rng, kind, engines[kind["service"]]) for _ in range(lot["size"]))
                for _ in range(groups)
            )[:wanted]
            earned = 0.0
            for duration in whole:
                late = stretched(asked, duration, pause) - asked > limit
                earned += kind["late_worth"] if late else kind["worth"]
            rows.append((kind["name"], at, wanted * kind["worth"], earned))
            trained = max(trained, stretched(asked, whole[-1], pause)) + lot["train_s"]
            ends.append(trained)
            at += lot["every_s"]
    for part in day.get("traffic") or site["traffic"]:
        total = sum(part["mix"].values())
        for name, share in part["mix"].items():
            kind = next(it for it in site["classes"] if it["name"] == name)
            if kind["worth"] == 0:
                continue
            for i in range(int(part["per_s"] * share / total * length)):
                begin = rng.random() * length
                took = draw(rng, kind["work_ms"]) / 1000.0 if kind.get("work_ms") else 0.0
                earned = kind["worth"]
                if took > kind["deadline_ms"] / 1000.0:
                    earned = 0.0
                elif took > kind["aim_ms"] / 1000.0:
                    earned = kind["late_worth"]
                rows.append((name, begin, kind["worth"], earned))
    return rows


def share(rows):
    owed = sum(row[2] for row in rows)
    return sum(row[3] for row in rows) / owed if owed else 1.0


def grouped(rows, key):
    out = {}
    for row in rows:
        out.setdefault(key(row), []).append(row)
    return out


def worth(rows, site, day):
    """The day's worth and its parts, as the pages weigh them."""
    goal = site["goal"]
    length, _ = day_s(site, day)
    windows = sorted(share(it) for it in grouped(rows, lambda row: int(row[1] / WINDOW_S)).values())
    kinds = {name: share(it) for name, it in grouped(rows, lambda row: row[0]).items()}
    seconds = site["lead_s"] + length + site["timing"]["finish_s"]
    price = site["prices"]["machine_s"]
    by_role = site["prices"].get("machine_s_by", {})
    machines = sum(it["count"] * by_role.get(it["class"], price) for it in site["machines"])
    paid = machines * seconds / sum(row[2] for row in rows)
    credit = goal["mean"] * share(rows) + goal["window"] * sum(windows[:2]) / 2
    credit += goal["class"] * min(kinds.values())
    return credit - paid, share(rows), sum(windows[:2]) / 2, kinds, paid


def main():
    it = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    it.add_argument("sites", nargs="+", help="site files; days stand beside them as .days")
    it.add_argument("--plays", type=int, default=40, help="draws a day")
    args = it.parse_args()
    for path in args.sites:
        with open(path, "rb") as file:
            site = tomllib.load(file)
        days = site.get("day", [])
        print(f"{site['name']}\n{'day':<12}{'bound':>7}{'credit':>8}{'windows':>9}{'machines':>10}  kinds behind")
        sums = []
        for day in days:
            rng = random.Random(day["seed"])
            draws = [worth(play(rng, site, day), site, day) for _ in range(args.plays)]
            mean = [sum(it[i] for it in draws) / len(draws) for i in (0, 1, 2, 4)]
            behind = {
                name: sum(it[3][name] for it in draws) / len(draws) for name in draws[0][3]
            }
            text = ", ".join(f"{name} {value:.2f}" for name, value in behind.items() if value < 0.995)
            print(f"{day['name']:<12}{mean[0]:>7.3f}{mean[1]:>8.3f}{mean[2]:>9.3f}{mean[3]:>10.3f}  {text}")
            if day["slot"] != "quiet":
                sums.append(mean[0])
        if sums:
            print(f"{'trouble':<12}{sum(sums) / len(sums):>7.3f}  mean of {len(sums)} days\n")


if __name__ == "__main__":
    sys.exit(main())
