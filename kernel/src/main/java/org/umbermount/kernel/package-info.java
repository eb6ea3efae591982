/**
 * What every daemon is built from: the plug-in host, settings, the clock and event loop, metrics, identifiers, error
 * kinds, and the message codec.
 *
 * <p>A program is a {@link org.umbermount.kernel.PluginHost} with the {@link org.umbermount.kernel.Plugin plug-ins}
 * that the {@code ServiceLoader} finds for its role. All logic of a process runs on one event loop, behind {@link
 * org.umbermount.kernel.Clock}, so that tests can replace time; daemons talk by unreliable datagrams, behind {@link
 * org.umbermount.kernel.Messenger}, so that tests can replace the network. The package depends on no other module.
 *
 * <p>Start reading with {@link org.umbermount.kernel.PluginHost}, then {@link org.umbermount.kernel.Plugin} and {@link
 * org.umbermount.kernel.Messenger}. {@link org.umbermount.kernel.Safeguard} lists the mechanisms that the arguments in
 * {@code docs/control.md} rest on.
 */
package org.umbermount.kernel;
