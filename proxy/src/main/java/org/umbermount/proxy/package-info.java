/**
 * The data plane: HTTP requests from clients to the servers of the routing table, with load balancing, retries and
 * admission control.
 *
 * <p>A request is read strictly ({@code StrictRequestDecoder}), finds its route ({@code RouteIndex}), passes admission
 * control, and is sent to a server chosen from two at random ({@code LoadBalancer}). {@code Sendings} decides whether
 * it may be sent once more, so that a request that is not safe runs at most once.
 *
 * <p>Start reading with {@code ProxyListener}, then follow one request: {@code ClientConnection}, {@code
 * RequestExchange}, {@code Attempt}, {@code ServerConnection}. The section on traffic in {@code docs/design.md} has
 * the reasons.
 */
package org.umbermount.proxy;
