package org.umbermount.app;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.slf4j.ILoggerFactory;
import org.slf4j.IMarkerFactory;
import org.slf4j.Logger;
import org.slf4j.helpers.BasicMarkerFactory;
import org.slf4j.helpers.NOPMDCAdapter;
import org.slf4j.spi.MDCAdapter;
import org.slf4j.spi.SLF4JServiceProvider;

/**
 * The log backend of the programs: lines on standard error. It takes the place of SLF4J's simple backend, whose reading of a
 * properties file and date formats cost a daemon's start more than all its log lines.
 */
public final class ConsoleLogging implements SLF4JServiceProvider, ILoggerFactory {
    private static final String API_VERSION = "2.0.99";

    private final ConcurrentMap<String, Logger> loggers = new ConcurrentHashMap<>();
    private IMarkerFactory markers;
    private MDCAdapter contexts;

    @Override
    public void initialize() {
        markers = new BasicMarkerFactory();
        contexts = new NOPMDCAdapter();
    }

    @Override
    public Logger getLogger(String name) {
        Logger known = loggers.get(name);
        if (known != null) {
            return known;
        }
        Logger fresh = new ConsoleLogger(name);
        Logger earlier = loggers.putIfAbsent(name, fresh);
        return earlier == null ? fresh : earlier;
    }

    @Override
    public ILoggerFactory getLoggerFactory() {
        return this;
    }

    @Override
    public IMarkerFactory getMarkerFactory() {
        return markers;
    }

    @Override
    public MDCAdapter getMDCAdapter() {
        return contexts;
    }

    @Override
    public String getRequestedApiVersion() {
        return API_VERSION;
    }
}
