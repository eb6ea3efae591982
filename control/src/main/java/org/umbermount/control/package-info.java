/**
 * The control plane of a controller: the configuration store, the registry of servers, leases on duties, and the HTTP
 * API of servers and operators.
 *
 * <p>The configuration is a single replicated value. Writes pass through a chain of replicas from head to tail (R. van
 * Renesse, F. B. Schneider, "Chain Replication for Supporting High Throughput and Availability", OSDI 2004, section 3;
 * {@link org.umbermount.control.ChainReplica}). The paper leaves the membership of the chain to a master; here a
 * {@link org.umbermount.control.View view} names the chain and the voters, and a majority of the voters agrees on the
 * next view by one instance of single-decree Paxos for each view number (L. Lamport, "Paxos Made Simple", 2001,
 * section 2; {@link org.umbermount.control.ViewProposer} and {@link org.umbermount.control.Acceptor}). A replica that
 * has lost its disk reads the state of others before it votes again ({@link org.umbermount.control.Recovery}).
 *
 * <p>Servers and leases are soft state: the {@link org.umbermount.control.ServerRegistry} is rebuilt from heartbeats,
 * and the {@link org.umbermount.control.LeaseManager} grants each duty, such as sending to the proxies of a zone, to
 * one controller at a time.
 *
 * <p>Start reading with {@link org.umbermount.control.Replica}, which puts the parts of the store together, then
 * {@link org.umbermount.control.ControlPlane}. The arguments for safety are in {@code docs/control.md}.
 */
package org.umbermount.control;
