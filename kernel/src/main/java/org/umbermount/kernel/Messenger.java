package org.umbermount.kernel;

/** Datagrams between daemons. Delivery is neither certain nor in order. */
public interface Messenger {
    /** The address from which this daemon sends. */
    DaemonAddress self();

    /** Sends a message of any size up to {@link #LARGEST}. */
    void send(DaemonAddress to, Topic topic, byte[] body);

    /** Registers the receiver of a topic; a later one replaces it. It is called on the event loop. */
    void subscribe(Topic topic, Listener listener);

    /** The largest message that is carried. */
    int LARGEST = 4 << 20;

    /** Receives the messages of one topic. A message that cannot be read is reported by throwing. */
    interface Listener {
        /**
         * Handles one message.
         *
         * @throws MessagePackCodec.UnreadableException if the body is not a message of this topic; it is counted and
         * dropped
         */
        void receive(DaemonAddress from, byte[] body) throws MessagePackCodec.UnreadableException;
    }

    /** What a message is about. The order is part of the format. */
    enum Topic {
        SHUFFLE,
        ROLL_CALL,
        VIEW,
        CHAIN,
        CENSUS,
        LEASE,
        DISPATCH,
        SIGNPOST,
        INQUIRY,
        LOAN,
        QUOTA,
        OCCUPANCY,
        INTRODUCTION
    }
}
