package org.umbermount.kernel;

import java.util.Random;

/** Numbers that tell the lives of a process apart. They are drawn, so that no clock or disk has to be relied on for them. */
public final class RandomNumbers {
    private static final int BITS_LEFT_OUT = 2;

    private RandomNumbers() {}

    /** A number of 62 bits that is not 0; half of the range of positive numbers is left above it. */
    public static long life(Random random) {
        long drawn = 0;
        while (drawn == 0) {
            drawn = random.nextLong() >>> BITS_LEFT_OUT;
        }
        return drawn;
    }
}
