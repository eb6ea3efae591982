package org.umbermount.idempotency;

import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.umbermount.control.OperationLogPosition;
import org.umbermount.kernel.DaemonAddress;

/**
 * The operation records of one daemon: the entries of all views in order, and for each key the entry that counts.
 * Within a view the positions are given by its head alone, so two daemons' entries of one view differ only in how
 * far they reach.
 */
final class OperationStore {
    private final List<OperationRecord> slips = new ArrayList<>();
    private final Map<OperationKey, OperationRecord> standing = new Object2ObjectOpenHashMap<>();
    private long view;
    private long pos;
    private long bytes;

    /** Where the book ends. */
    OperationLogPosition mark() {
        return new OperationLogPosition(view, pos, DaemonAddress.NONE);
    }

    /** What stands for a key: the last entry about it, or null. */
    OperationRecord standing(OperationKey key) {
        return standing.get(key);
    }

    int size() {
        return slips.size();
    }

    int keys() {
        return standing.size();
    }

    long bytes() {
        return bytes;
    }

    /** Takes part in a view from here on. */
    void enter(long next) {
        if (next > view) {
            view = next;
            pos = 0;
        }
    }

    /** Adds the next entry. */
    void add(OperationRecord slip) {
        enter(slip.view);
        if (slip.view != view || slip.pos <= pos) {
            throw new IllegalStateException(
                    "An operation record at " + slip.view + "/" + slip.pos + " behind " + view + "/" + pos);
        }
        pos = slip.pos;
        slips.add(slip);
        bytes += slip.raw.length;
        stand(slip);
    }

    private void stand(OperationRecord slip) {
        OperationRecord before = standing.get(slip.key);
        // Only a claim can replace another try's entry; what comes late for an expired claim says nothing.
        if (slip.kind == OperationRecord.Kind.CLAIM
                || slip.kind == OperationRecord.Kind.RELEASE && before == null
                || before != null && before.sameTry(slip.origin, slip.serial)) {
            standing.put(slip.key, slip);
        }
    }

    /** Whether an entry lies behind a mark. */
    private static boolean beyond(OperationRecord s, OperationLogPosition mark) {
        return s.view != mark.view() ? s.view > mark.view() : s.pos > mark.pos();
    }

    /** Drops what lies behind the mark. */
    void cut(OperationLogPosition mark) {
        boolean dropped = false;
        while (!slips.isEmpty() && beyond(slips.get(slips.size() - 1), mark)) {
            bytes -= slips.remove(slips.size() - 1).raw.length;
            dropped = true;
        }
        if (dropped) {
            standing.clear();
            slips.forEach(this::stand);
        }
        view = mark.view();
        pos = mark.pos();
    }

    /** Drops the first entries up to a segment. */
    int expireThrough(int segment) {
        int n = 0;
        while (n < slips.size() && slips.get(n).segment > 0 && slips.get(n).segment <= segment) {
            OperationRecord s = slips.get(n++);
            bytes -= s.raw.length;
            if (standing.get(s.key) == s) {
                standing.remove(s.key);
            }
        }
        slips.subList(0, n).clear();
        return n;
    }

    /** How far the book reaches in each view that it has entries of, and in the last. */
    List<OperationLogPosition> lineage() {
        List<OperationLogPosition> out = new ArrayList<>();
        OperationRecord last = null;
        for (OperationRecord s : slips) {
            if (last != null && last.view != s.view) {
                out.add(new OperationLogPosition(last.view, last.pos, DaemonAddress.NONE));
            }
            last = s;
        }
        if (last != null && last.view != view) {
            out.add(new OperationLogPosition(last.view, last.pos, DaemonAddress.NONE));
        }
        out.add(mark());
        return out;
    }

    /** Up to where two books are the same. */
    static OperationLogPosition common(List<OperationLogPosition> a, List<OperationLogPosition> b) {
        int i = 0;
        int j = 0;
        // One of them may have let its oldest views go.
        while (i < a.size() && j < b.size() && a.get(i).view() != b.get(j).view()) {
            if (a.get(i).view() < b.get(j).view()) {
                i++;
            } else {
                j++;
            }
        }
        if (i > 0 && j > 0) {
            return OperationLogPosition.NONE;
        }
        OperationLogPosition common = OperationLogPosition.NONE;
        while (i < a.size() && j < b.size() && a.get(i).view() == b.get(j).view()) {
            long least = Math.min(a.get(i).pos(), b.get(j).pos());
            common = new OperationLogPosition(a.get(i).view(), least, DaemonAddress.NONE);
            if (a.get(i).pos() != b.get(j).pos()) {
                return common;
            }
            i++;
            j++;
        }
        return common;
    }

    /** Where the entries behind a mark begin. */
    private int indexAfter(OperationLogPosition mark) {
        int low = 0;
        int high = slips.size();
        while (low < high) {
            int middle = (low + high) >>> 1;
            if (beyond(slips.get(middle), mark)) {
                high = middle;
            } else {
                low = middle + 1;
            }
        }
        return low;
    }

    /** Entries behind one mark and not behind another, as many as fit. */
    List<OperationRecord> between(OperationLogPosition after, OperationLogPosition until, int mostBytes) {
        List<OperationRecord> out = new ArrayList<>();
        int room = mostBytes;
        for (int i = indexAfter(after); i < slips.size(); i++) {
            OperationRecord s = slips.get(i);
            if (beyond(s, until) || !out.isEmpty() && s.raw.length > room) {
                break;
            }
            out.add(s);
            room -= s.raw.length;
        }
        return out;
    }
}
