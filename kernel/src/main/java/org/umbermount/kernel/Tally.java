package org.umbermount.kernel;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Meter;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.DoubleSupplier;

/** The process's meters, kept by Micrometer and shown as plain text. */
public final class Tally {
    private final SimpleMeterRegistry registry = new SimpleMeterRegistry();
    private final Map<String, Counter> counters = new HashMap<>();

    public Counter counter(String name) {
        return counters.computeIfAbsent(name, registry::counter);
    }

    public void count(String name) {
        counter(name).increment();
    }

    public void gauge(String name, DoubleSupplier value) {
        io.micrometer.core.instrument.Gauge.builder(name, value::getAsDouble).register(registry);
    }

    /** One line a meter: its name with underscores, and its value. */
    public String page() {
        StringBuilder out = new StringBuilder();
        for (Meter meter : registry.getMeters()) {
            double value = meter.measure().iterator().next().getValue();
            out.append("umbermount_").append(meter.getId().getName().replace('.', '_')).append(' ')
                    .append(value == Math.rint(value) && Math.abs(value) < 1e15 ? Long.toString((long) value)
                            : String.format(Locale.ROOT, "%.3f", value))
                    .append('\n');
        }
        return out.toString();
    }
}
