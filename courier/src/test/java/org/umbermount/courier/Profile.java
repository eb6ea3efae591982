package org.umbermount.courier;

import static org.umbermount.courier.Day.Kind.ALL_DOWN;
import static org.umbermount.courier.Day.Kind.AWAY;
import static org.umbermount.courier.Day.Kind.BIG_STORM;
import static org.umbermount.courier.Day.Kind.CHANGE;
import static org.umbermount.courier.Day.Kind.CLASH;
import static org.umbermount.courier.Day.Kind.CLOCK;
import static org.umbermount.courier.Day.Kind.LATE;
import static org.umbermount.courier.Day.Kind.LONG_LOSS;
import static org.umbermount.courier.Day.Kind.LOSS;
import static org.umbermount.courier.Day.Kind.MANY;
import static org.umbermount.courier.Day.Kind.PLANNED;
import static org.umbermount.courier.Day.Kind.PROXY;
import static org.umbermount.courier.Day.Kind.READ;
import static org.umbermount.courier.Day.Kind.REPEAT;
import static org.umbermount.courier.Day.Kind.REPLACE;
import static org.umbermount.courier.Day.Kind.REST;
import static org.umbermount.courier.Day.Kind.RIVALS;
import static org.umbermount.courier.Day.Kind.SLOW;
import static org.umbermount.courier.Day.Kind.STALL;
import static org.umbermount.courier.Day.Kind.STORM;
import static org.umbermount.courier.Day.Kind.WIPE;

import java.util.List;

/** What a day is made of: one of the kinds is drawn for each step. */
enum Profile {
    /** Short losses, stops of everything, lectors in trouble, changes and races. */
    ORDINARY(LOSS, LOSS, LOSS, PROXY, PROXY, ALL_DOWN, RIVALS, READ, STORM, STALL, CHANGE, CHANGE, CHANGE),
    /** Machines that are cut off, frozen or slow for some twenty seconds, wholly, in one direction or from some others. */
    CUTS(LONG_LOSS, LONG_LOSS, LONG_LOSS, SLOW, LOSS, PROXY, RIVALS, READ, STORM, STALL, CHANGE, CHANGE, REST),
    /** Operators that get in each other's way, answers that are lost, and orders that are sent again. */
    ORDERS(CLASH, CLASH, MANY, MANY, REPEAT, REPEAT, REPEAT, BIG_STORM, LOSS, LOSS, STALL, READ, REST),
    /** Machines that are gone for good, and empty ones that come for them. */
    REPLACEMENTS(REPLACE, REPLACE, REPLACE, PLANNED, PLANNED, WIPE, LOSS, LOSS, STORM, CHANGE, CHANGE, MANY, READ, PROXY, REST, REST),
    /** Hundreds of changes while a member is away. */
    LONG(AWAY, AWAY, REST, CHANGE, REPEAT, READ, REPLACE, WIPE),
    /** All of it. */
    ALL(LOSS, LOSS, PROXY, ALL_DOWN, CLOCK, RIVALS, STORM, STALL, CHANGE, CHANGE, LONG_LOSS, SLOW, CLASH, MANY, REPEAT, REPEAT,
            BIG_STORM, REPLACE, REPLACE, PLANNED, WIPE, READ, REST, REST),
    /** Times of day that step around kills, wipes and replacements, and messages of lives that have ended. */
    CLOCKS(CLOCK, CLOCK, LATE, LATE, LATE, LATE, LOSS, LOSS, WIPE, WIPE, REPLACE, PLANNED, ALL_DOWN, PROXY, PROXY, CHANGE, CHANGE,
            MANY, READ, REST);

    private final List<Day.Kind> kinds;

    Profile(Day.Kind... kinds) {
        this.kinds = List.of(kinds);
    }

    List<Day.Kind> kinds() {
        return kinds;
    }
}
