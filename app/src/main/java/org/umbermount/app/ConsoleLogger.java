package org.umbermount.app;

import org.slf4j.Marker;
import org.slf4j.event.Level;
import org.slf4j.helpers.LegacyAbstractLogger;
import org.slf4j.helpers.MessageFormatter;

/** Writes lines of the form {@code LEVEL name - message} to standard error. */
final class ConsoleLogger extends LegacyAbstractLogger {
    private static final long serialVersionUID = 1L;

    private final boolean informs;

    /** @param name the part that logs; libraries, whose names are those of classes, are heard from warnings on */
    ConsoleLogger(String name) {
        this.name = name;
        this.informs = name.indexOf('.') < 0;
    }

    @Override
    public boolean isTraceEnabled() {
        return false;
    }

    @Override
    public boolean isDebugEnabled() {
        return false;
    }

    @Override
    public boolean isInfoEnabled() {
        return informs;
    }

    @Override
    public boolean isWarnEnabled() {
        return true;
    }

    @Override
    public boolean isErrorEnabled() {
        return true;
    }

    @Override
    protected String getFullyQualifiedCallerName() {
        return null;
    }

    @Override
    protected void handleNormalizedLoggingCall(
            Level level, Marker marker, String pattern, Object[] arguments, Throwable thrown) {
        String message = arguments == null ? pattern : MessageFormatter.basicArrayFormat(pattern, arguments);
        StringBuilder line = new StringBuilder(level.name())
                .append(' ')
                .append(name)
                .append(" - ")
                .append(message);
        synchronized (System.err) {
            System.err.println(line);
            if (thrown != null) {
                thrown.printStackTrace(System.err);
            }
        }
    }
}
