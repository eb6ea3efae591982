/**
 * The command line and the two programs, proxy and controller.
 *
 * <p>Start reading with {@link org.umbermount.app.Main}, then {@code Daemon}, which runs one program from its start to
 * its orderly stop. Commands for operators are subcommands of {@code Umbermount}.
 */
package org.umbermount.app;
