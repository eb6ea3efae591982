package org.umbermount.kernel;

/**
 * A plug-in: one part of a program. Parts register themselves through
 * {@code META-INF/services/org.umbermount.kernel.Plugin}.
 */
public interface Plugin {
    /** The part's name; also the prefix of its log lines. */
    String name();

    /** Parts open in rising order and close in falling order. */
    int order();

    /** Whether the part belongs to this role. */
    boolean serves(Role role);

    void open(PluginHost pluginHost) throws Exception;

    /**
     * Leaves in order. The part calls {@code done} once it has nothing left to finish.
     */
    default void leave(Runnable done) {
        done.run();
    }

    /** Called when the settings file has been read again. */
    default void reread(Settings rules) {}
}
