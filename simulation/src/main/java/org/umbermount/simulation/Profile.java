package org.umbermount.simulation;

import java.util.List;

import static org.umbermount.simulation.Day.Kind.ALL_DOWN;
import static org.umbermount.simulation.Day.Kind.AWAY;
import static org.umbermount.simulation.Day.Kind.BIG_STORM;
import static org.umbermount.simulation.Day.Kind.CHANGE;
import static org.umbermount.simulation.Day.Kind.CLASH;
import static org.umbermount.simulation.Day.Kind.CLOCK;
import static org.umbermount.simulation.Day.Kind.LATE;
import static org.umbermount.simulation.Day.Kind.LONG_LOSS;
import static org.umbermount.simulation.Day.Kind.LOSS;
import static org.umbermount.simulation.Day.Kind.MALFORMED;
import static org.umbermount.simulation.Day.Kind.MANY;
import static org.umbermount.simulation.Day.Kind.PLANNED;
import static org.umbermount.simulation.Day.Kind.PROXY;
import static org.umbermount.simulation.Day.Kind.READ;
import static org.umbermount.simulation.Day.Kind.REPEAT;
import static org.umbermount.simulation.Day.Kind.REPLACE;
import static org.umbermount.simulation.Day.Kind.REST;
import static org.umbermount.simulation.Day.Kind.RIVALS;
import static org.umbermount.simulation.Day.Kind.SERVER;
import static org.umbermount.simulation.Day.Kind.SLOW;
import static org.umbermount.simulation.Day.Kind.STALL;
import static org.umbermount.simulation.Day.Kind.STORM;
import static org.umbermount.simulation.Day.Kind.WIPE;

/** What a day is made of: one of the kinds is drawn for each step. */
enum Profile {
    /** Short losses, stops of everything, proxies in trouble, changes and races. */
    ORDINARY(LOSS, LOSS, LOSS, PROXY, PROXY, ALL_DOWN, RIVALS, READ, STORM, STALL, CHANGE, CHANGE, CHANGE),
    /** Machines that are cut off, frozen or slow for some twenty seconds, wholly, in one direction or from some others. */
    CUTS(LONG_LOSS, LONG_LOSS, LONG_LOSS, SLOW, LOSS, PROXY, RIVALS, READ, STORM, STALL, CHANGE, CHANGE, REST),
    /** Operators that get in each other's way, answers that are lost, and orders that are sent again. */
    ORDERS(CLASH, CLASH, MANY, MANY, REPEAT, REPEAT, REPEAT, BIG_STORM, LOSS, LOSS, STALL, READ, REST),
    /** Machines that are gone for good, and empty ones that come for them. */
    REPLACEMENTS(
            REPLACE, REPLACE, REPLACE, PLANNED, PLANNED, WIPE, LOSS, LOSS, STORM, CHANGE, CHANGE, MANY, READ, PROXY,
            REST, REST),
    /** Hundreds of changes while a member is away. */
    LONG(AWAY, AWAY, REST, CHANGE, REPEAT, READ, REPLACE, WIPE),
    /** All of it. */
    ALL(
            LOSS, LOSS, PROXY, ALL_DOWN, CLOCK, RIVALS, STORM, STALL, CHANGE, CHANGE, LONG_LOSS, SLOW, CLASH, MANY,
            REPEAT, REPEAT, BIG_STORM, REPLACE, REPLACE, PLANNED, WIPE, READ, REST, REST),
    /** Operators and servers as they call over HTTP, changes of single items, and calls that cannot be read. */
    CALLS(
            LOSS, LOSS, WIPE, REPLACE, PROXY, STALL, CHANGE, CHANGE, RIVALS, CLASH, MANY, REPEAT, REPEAT, STORM, READ,
            MALFORMED, MALFORMED, MALFORMED, SERVER, SERVER, SERVER, REST),
    /** Clients whose operations are remembered and whose requests are counted, through losses, replacements and cuts. */
    SHARED(
            LOSS, LOSS, LOSS, LONG_LOSS, SLOW, WIPE, REPLACE, REPLACE, PLANNED, PROXY, PROXY, STALL, STALL, ALL_DOWN,
            CHANGE, CHANGE, STORM, REST),
    /** Times of day that step around kills, wipes and replacements, and messages of lives that have ended. */
    CLOCKS(
            CLOCK, CLOCK, LATE, LATE, LATE, LATE, LOSS, LOSS, WIPE, WIPE, REPLACE, PLANNED, ALL_DOWN, PROXY, PROXY,
            CHANGE, CHANGE, MANY, READ, REST);

    private final List<Day.Kind> kinds;

    Profile(Day.Kind... kinds) {
        this.kinds = List.of(kinds);
    }

    List<Day.Kind> kinds() {
        return kinds;
    }
}
