package org.umbermount.kernel;

/** Datagrams between daemons. Delivery is neither certain nor in order. */
public interface Messenger {
    DaemonAddress self();

    /** Sends a message of any size up to {@link #LARGEST}. */
    void send(DaemonAddress to, Topic topic, byte[] body);

    void subscribe(Topic topic, Listener listener);

    /** The largest message that is carried. */
    int LARGEST = 4 << 20;

    /** Receives the messages of one topic. A message that cannot be read is reported by throwing. */
    interface Listener {
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
