package org.umbermount.storage;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** What the records of a stack come to: the newest value under each key, and what was added to it since, in order. */
final class StoredValues {
    private final Map<Byte, byte[]> values = new TreeMap<>();
    private final Map<Byte, List<byte[]>> additions = new TreeMap<>();

    /** Takes the next of the records in. */
    void apply(LogRecord folio) {
        if (folio.isAddition()) {
            additions.computeIfAbsent(folio.target(), key -> new ArrayList<>()).add(folio.value());
        } else {
            values.put(folio.key(), folio.value());
            additions.remove(folio.key());
        }
    }

    /** Takes all of another in, whose records are newer. */
    void applyAll(StoredValues newer) {
        newer.folios().forEach(this::apply);
    }

    /** The newest value, or null. */
    byte[] value(byte key) {
        return values.get(key);
    }

    /** What was added to the newest value, oldest first. */
    List<byte[]> additions(byte key) {
        return List.copyOf(additions.getOrDefault(key, List.of()));
    }

    boolean isEmpty() {
        return values.isEmpty();
    }

    void clear() {
        values.clear();
        additions.clear();
    }

    /** The fewest records that come to the same. */
    List<LogRecord> folios() {
        List<LogRecord> out = new ArrayList<>();
        values.forEach((key, value) -> out.add(new LogRecord(key, value)));
        additions.forEach((key, added) -> added.forEach(one -> out.add(LogRecord.addition(key, one))));
        return out;
    }
}
