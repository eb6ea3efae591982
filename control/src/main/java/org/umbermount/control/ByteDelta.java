package org.umbermount.control;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.umbermount.kernel.MessagePackCodec;
import org.umbermount.kernel.Messenger;

/**
 * How one run of bytes is made from another: each step copies a part of the base and then appends bytes of its own. Both runs
 * are cut behind each closing brace, which in a configuration ends an item; a piece that the base has a little further on is
 * copied, any other is spelled out. Whatever the bytes are, the outcome is exact; only the length of the delta hangs on them.
 */
record ByteDelta(List<Step> steps) {
    /** Some bytes of the base, and then some others. */
    record Step(int from, int length, byte[] literal) {}

    /** The longest outcome that is made: a configuration has to fit into one message. */
    static final int LONGEST = Messenger.LARGEST;
    /** How many pieces of the base are looked at for one of the target. */
    private static final int WINDOW = 64;

    ByteDelta {
        steps = List.copyOf(steps);
    }

    /** The delta that makes {@code target} from {@code base}. */
    static ByteDelta between(byte[] base, byte[] target) {
        int[] basePieces = pieceEnds(base);
        int[] targetPieces = pieceEnds(target);
        Builder builder = new Builder(target);
        int next = 0;
        int from = 0;
        for (int to : targetPieces) {
            int found = find(base, basePieces, next, target, from, to);
            if (found >= 0) {
                builder.copy(start(basePieces, found), to - from);
                next = found + 1;
            } else {
                builder.spellOut(from, to);
            }
            from = to;
        }
        return builder.build();
    }

    /** Where the pieces end. */
    private static int[] pieceEnds(byte[] bytes) {
        int[] ends = new int[16];
        int count = 0;
        for (int at = 0; at < bytes.length; at++) {
            if (bytes[at] == '}' || at == bytes.length - 1) {
                if (count == ends.length) {
                    ends = Arrays.copyOf(ends, 2 * count);
                }
                ends[count++] = at + 1;
            }
        }
        return Arrays.copyOf(ends, count);
    }

    private static int start(int[] pieces, int index) {
        return index == 0 ? 0 : pieces[index - 1];
    }

    /** The first piece of the base from {@code next} on, but not far from it, that equals a part of the target; or -1. */
    private static int find(byte[] base, int[] pieces, int next, byte[] target, int from, int to) {
        int last = Math.min(pieces.length, next + WINDOW);
        for (int i = next; i < last; i++) {
            if (Arrays.equals(base, start(pieces, i), pieces[i], target, from, to)) {
                return i;
            }
        }
        return -1;
    }

    /** Joins what follows each other. */
    private static final class Builder {
        private final byte[] target;
        private final List<Step> steps = new ArrayList<>();
        private int copyFrom;
        private int copyLength;
        private int literalFrom;
        private int literalTo;

        Builder(byte[] target) {
            this.target = target;
        }

        void copy(int from, int length) {
            if (literalTo > literalFrom || copyFrom + copyLength != from) {
                finishStep();
                copyFrom = from;
            }
            copyLength += length;
        }

        void spellOut(int from, int to) {
            if (literalTo == literalFrom) {
                literalFrom = from;
            }
            literalTo = to;
        }

        private void finishStep() {
            if (copyLength > 0 || literalTo > literalFrom) {
                steps.add(new Step(copyFrom, copyLength, Arrays.copyOfRange(target, literalFrom, literalTo)));
            }
            copyFrom = 0;
            copyLength = 0;
            literalFrom = 0;
            literalTo = 0;
        }

        ByteDelta build() {
            finishStep();
            return new ByteDelta(steps);
        }
    }

    /** What the delta makes of a base, or null if it copies what the base does not have. */
    byte[] applyTo(byte[] base) {
        long length = 0;
        for (Step step : steps) {
            if (step.from < 0 || step.length < 0 || step.from > base.length - step.length) {
                return null;
            }
            length += step.length + step.literal.length;
        }
        if (length > LONGEST) {
            return null;
        }
        byte[] out = new byte[(int) length];
        int at = 0;
        for (Step step : steps) {
            System.arraycopy(base, step.from, out, at, step.length);
            at += step.length;
            System.arraycopy(step.literal, 0, out, at, step.literal.length);
            at += step.literal.length;
        }
        return out;
    }

    void write(MessagePackCodec.Writer out) {
        out.list(steps, (o, step) -> o.num(step.from).num(step.length).bytes(step.literal));
    }

    static ByteDelta read(MessagePackCodec.Reader in) throws MessagePackCodec.UnreadableException {
        return new ByteDelta(in.list(step -> new Step(readInt(step), readInt(step), step.bytes())));
    }

    private static int readInt(MessagePackCodec.Reader in) throws MessagePackCodec.UnreadableException {
        long value = in.num();
        if (value < 0 || value > LONGEST) {
            throw new MessagePackCodec.UnreadableException("a part of a base is out of bounds", null);
        }
        return (int) value;
    }
}
