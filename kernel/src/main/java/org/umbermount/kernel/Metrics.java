package org.umbermount.kernel;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Meter;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.DoubleSupplier;
import java.util.function.ObjDoubleConsumer;

/**
 * The process's meters, handed to Micrometer and shown as plain text. Counting itself is a plain addition: the registry
 * is put together when somebody first looks, because loading it at each start cost a tenth of the start.
 */
public final class Metrics {
    /**
     * A number that only rises. It is counted on the process's loop alone, since an addition is a reading and a
     * writing; readers may see it a little late.
     */
    public static final class Count {
        private final BooleanSupplier inEventLoop;
        private volatile double value;

        private Count(BooleanSupplier inEventLoop) {
            this.inEventLoop = inEventLoop;
        }

        /** Adds one. */
        public void increment() {
            increment(1);
        }

        /** Adds an amount, which must not be negative. Only the event loop may call this. */
        public void increment(double by) {
            assert inEventLoop.getAsBoolean() : "a meter is counted beside the event loop";
            value = value + by;
        }

        /** The sum so far. */
        public double count() {
            return value;
        }
    }

    private final BooleanSupplier inEventLoop;
    private final Map<String, Count> counts = new HashMap<>();
    private final Map<String, DoubleSupplier> gauges = new TreeMap<>();

    /** Meters whose counting thread is not checked. */
    public Metrics() {
        this(() -> true);
    }

    /** Meters that are counted only where {@code inEventLoop} holds; assertions check it. */
    public Metrics(BooleanSupplier inEventLoop) {
        this.inEventLoop = inEventLoop;
    }

    /** The counter of this name, made on first use. Names are dotted, as in {@code servers.answers.broken}. */
    public synchronized Count counter(String name) {
        return counts.computeIfAbsent(name, n -> new Count(inEventLoop));
    }

    /** Adds one to the counter of this name. */
    public void count(String name) {
        counter(name).increment();
    }

    /** Registers a value that is read each time the metrics are shown. A later gauge of the same name replaces it. */
    public synchronized void gauge(String name, DoubleSupplier value) {
        gauges.put(name, value);
    }

    /** Tells every count. */
    public synchronized void forEach(ObjDoubleConsumer<String> reader) {
        counts.forEach((name, c) -> reader.accept(name, c.count()));
    }

    /** The meters as a Micrometer registry, for whoever wants to export them. */
    public synchronized SimpleMeterRegistry registry() {
        SimpleMeterRegistry registry = new SimpleMeterRegistry();
        counts.forEach(
                (name, c) -> FunctionCounter.builder(name, c, Count::count).register(registry));
        gauges.forEach((name, g) -> Gauge.builder(name, g::getAsDouble).register(registry));
        return registry;
    }

    /** One line a meter: its name with underscores, and its value. */
    public String page() {
        StringBuilder out = new StringBuilder();
        for (Meter meter : registry().getMeters()) {
            double value = meter.measure().iterator().next().getValue();
            out.append("umbermount_")
                    .append(meter.getId().getName().replace('.', '_'))
                    .append(' ')
                    .append(
                            value == Math.rint(value) && Math.abs(value) < 1e15
                                    ? Long.toString((long) value)
                                    : String.format(Locale.ROOT, "%.3f", value))
                    .append('\n');
        }
        return out.toString();
    }
}
