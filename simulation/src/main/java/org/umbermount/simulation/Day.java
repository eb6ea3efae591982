package org.umbermount.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** A day as it is drawn from a seed, before it is played: what happens, one after another, and how long after it the next. */
record Day(long seed, Profile profile, List<Event> events) {
    /** What may happen. */
    enum Kind {
        /** A controller is lost for some seconds at most: killed, without power, wiped, cut off, frozen, its disk in trouble. */
        LOSS,
        /** A controller is cut off or frozen for some twenty seconds. */
        LONG_LOSS,
        /** A controller gets a part of its processor's time. */
        SLOW,
        /** A controller comes back with an empty disk. */
        WIPE,
        /** A controller is gone for good, and an empty one with a new address comes for it. */
        REPLACE,
        /** An empty controller comes, and then the one that it replaces leaves. */
        PLANNED,
        /** Every controller ends, with or without the power, or nothing of the kind. */
        ALL_DOWN,
        /** The time of day steps. */
        CLOCK,
        /** A process gets no processor for a moment. */
        STALL,
        /** A proxy is lost for some seconds. */
        PROXY,
        CHANGE,
        /** Two changes on one version. */
        RIVALS,
        /** Two operators choose one number for different changes. */
        CLASH,
        /** Up to eight orders under way at once. */
        MANY,
        /** An order of some time ago is sent again. */
        REPEAT,
        STORM,
        /** Hundreds of changes. */
        BIG_STORM,
        /** Hundreds of changes while a controller is away. */
        AWAY,
        READ,
        /** Calls that cannot be read, or that say what nobody may take. */
        MALFORMED,
        /** A server drains and another comes, or an old beat of one that drains arrives. */
        SERVER,
        /** Nothing, for long enough that calm comes and a change must be taken. */
        REST,
        /** Messages of lives that have ended come late. */
        LATE
    }

    /** One thing that happens; what it comes to is drawn from its own salt, whatever has happened before. */
    record Event(int number, Kind kind, long salt, long gapMs) {
        Event withGap(long otherMs) {
            return new Event(number, kind, salt, otherMs);
        }
    }

    static Day draw(long seed, Profile profile, int steps) {
        Random random = new Random(seed * 31 + profile.ordinal());
        List<Event> events = new ArrayList<>();
        List<Kind> kinds = profile.kinds();
        for (int i = 0; i < steps; i++) {
            Kind kind = kinds.get(random.nextInt(kinds.size()));
            long gap = random.nextInt(3) == 0 ? 50 + random.nextInt(4_000) : 20 + random.nextInt(500);
            events.add(new Event(i, kind, random.nextLong(), kind == Kind.REST ? 9_600 : gap));
        }
        return new Day(seed, profile, List.copyOf(events));
    }

    /** The day up to an event, without those after it. */
    Day upTo(int count) {
        return new Day(seed, profile, List.copyOf(events.subList(0, Math.min(count, events.size()))));
    }

    /** The day without some of its events; the time that they took goes as well, or is kept. */
    Day without(int from, int to, boolean keepTime) {
        List<Event> left = new ArrayList<>(events.subList(0, from));
        long gap = 0;
        for (Event e : events.subList(from, to)) {
            gap += e.gapMs();
        }
        if (keepTime && from > 0) {
            Event before = left.get(from - 1);
            left.set(from - 1, before.withGap(before.gapMs() + gap));
        }
        left.addAll(events.subList(to, events.size()));
        return new Day(seed, profile, List.copyOf(left));
    }

    /** The day with nothing but some of its events, as {@link #plan()} names them. */
    Day only(String plan) {
        List<Event> left = new ArrayList<>();
        for (String one : plan.isEmpty() ? new String[0] : plan.split(",")) {
            String[] parts = one.split(":");
            left.add(events.get(Integer.parseInt(parts[0])).withGap(Long.parseLong(parts[1])));
        }
        return new Day(seed, profile, List.copyOf(left));
    }

    /** The numbers of the events that are left and the time after each. */
    String plan() {
        return events.stream().map(e -> e.number() + ":" + e.gapMs()).collect(java.util.stream.Collectors.joining(","));
    }
}
