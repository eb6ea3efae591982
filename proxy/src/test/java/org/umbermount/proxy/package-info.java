/**
 * Tests of the data plane, most of them over real sockets on the loopback interface.
 *
 * <p>Start reading with {@code ProxyListenerTest}, whose {@code ScriptedServer} answers as each test says. {@code
 * UnrulyServer} misbehaves at random, from a seed.
 */
package org.umbermount.proxy;
