package org.umbermount.kernel;

import java.util.concurrent.Callable;

/**
 * A command of the program that lives in a module of its own. The command line looks for them with ServiceLoader; the daemons
 * never do, so that what such a module holds costs them nothing. The class carries the annotations of the command line's
 * library, and what it returns is the exit code.
 */
public interface CommandExtension extends Callable<Integer> {}
