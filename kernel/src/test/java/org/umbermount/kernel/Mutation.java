package org.umbermount.kernel;

/** Leaves one safeguard out while something runs. Tests with mutations must not run beside others in one process. */
public final class Mutation {
    /** What runs under the mutation. */
    public interface Body<T> {
        T run() throws Exception;
    }

    private Mutation() {}

    public static <T> T without(Safeguard safeguard, Body<T> body) throws Exception {
        safeguard.leaveOut(true);
        try {
            return body.run();
        } finally {
            safeguard.leaveOut(false);
        }
    }
}
