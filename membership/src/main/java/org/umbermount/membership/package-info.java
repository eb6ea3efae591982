/**
 * Which daemons there are, learned by gossip: each daemon keeps a small random sample of the others.
 *
 * <p>The protocol is CYCLON (S. Voulgaris, D. Gavidia, M. van Steen, "CYCLON: Inexpensive Membership Management for
 * Unstructured P2P Overlays", Journal of Network and Systems Management 13(2), 2005, the enhanced
 * shuffle): in each round the oldest neighbour is removed from the view and asked to exchange samples, so that a
 * daemon that no longer answers is forgotten.
 *
 * <p>Start reading with {@link org.umbermount.membership.PeerSampling}. The sample says who may exist, not who is
 * healthy: controllers watch each other with the failure detector of the control module.
 */
package org.umbermount.membership;
