package org.umbermount.quota;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.umbermount.control.Configuration;
import org.umbermount.control.LeaseManager;
import org.umbermount.control.MajorityContact;
import org.umbermount.control.Replica;
import org.umbermount.kernel.Clock;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.MessagePackCodec;
import org.umbermount.kernel.Messenger;
import org.umbermount.kernel.Metrics;
import org.umbermount.kernel.MonotonicTime;
import org.umbermount.kernel.Safeguard;
import org.umbermount.kernel.Settings;

/** Keeps the buckets of the tenants whose duty is held here, and grants out of them. */
final class QuotaGranter {
    /** What a new holder starts with: small enough that two changes of holder in a window stay inside the slack. */
    private static final double START_SHARE = 0.4;

    private static final double CAP_SHARE = 0.2;

    private final Clock clock;
    private final Messenger messenger;
    private final Replica replica;
    private final LeaseManager leases;
    private final MajorityContact contact;
    private final Settings.Sharing sharing;
    private final Metrics metrics;
    private final Map<String, Bucket> buckets = new HashMap<>();
    private Configuration limitsOf;
    private Map<String, Configuration.Tenant> limits = Map.of();

    QuotaGranter(
            Clock clock,
            Messenger messenger,
            Replica replica,
            LeaseManager leases,
            MajorityContact contact,
            Settings.Sharing sharing,
            Metrics metrics) {
        this.clock = clock;
        this.messenger = messenger;
        this.replica = replica;
        this.leases = leases;
        this.contact = contact;
        this.sharing = sharing;
        this.metrics = metrics;
        messenger.subscribe(Messenger.Topic.QUOTA, this::receive);
    }

    private Map<String, Configuration.Tenant> limits() {
        Configuration now = replica.regulations();
        if (now != limitsOf) {
            limitsOf = now;
            limits = new HashMap<>();
            if (now != null) {
                now.tenants().forEach(t -> limits.put(t.label(), t));
            }
            buckets.keySet().retainAll(limits.keySet());
        }
        return limits;
    }

    private void receive(DaemonAddress from, byte[] body) throws MessagePackCodec.UnreadableException {
        MessagePackCodec.Reader in = MessagePackCodec.read(body);
        if (!in.flag()) {
            return;
        }
        QuotaMessages.Ask ask = QuotaMessages.Ask.read(in);
        List<QuotaMessages.Grant> grants = new ArrayList<>();
        for (QuotaMessages.Wish w : ask.wishes()) {
            grants.add(grant(w));
        }
        messenger.send(from, Messenger.Topic.QUOTA, new QuotaMessages.Answer(ask.life(), ask.stamp(), grants).pack());
    }

    private QuotaMessages.Grant grant(QuotaMessages.Wish wish) {
        long epoch = leases.epoch(QuotaMessages.dutyOf(wish.tenant()));
        if (epoch == 0) {
            DaemonAddress holder = leases.holder(QuotaMessages.dutyOf(wish.tenant()));
            return new QuotaMessages.Grant(wish.tenant(), -1, 0, holder == null ? DaemonAddress.NONE : holder);
        }
        if (Safeguard.QUOTA_UNDER_CONFIRMED_EDITION.holds() && !contact.assured()) {
            // The limits held here may be old ones: as after a cut, when the lease is back before the configuration.
            return new QuotaMessages.Grant(wish.tenant(), -1, 0, messenger.self());
        }
        Configuration.Tenant limit = limits().get(wish.tenant());
        if (limit == null || !limit.limited()) {
            return new QuotaMessages.Grant(wish.tenant(), limit == null ? 0 : wish.count(), 0, messenger.self());
        }
        MonotonicTime now = clock.now();
        Bucket bucket = buckets.get(wish.tenant());
        if (bucket == null || bucket.epoch != epoch) {
            bucket = new Bucket(epoch, START_SHARE * sharing.quotaBurst(), now);
            buckets.put(wish.tenant(), bucket);
        }
        int n = bucket.take(wish.count(), limit.ratePerS(), limit.burst() + CAP_SHARE * sharing.quotaBurst(), now);
        metrics.counter(n < wish.count() ? "quota.asks.short" : "quota.asks.met")
                .increment();
        return new QuotaMessages.Grant(wish.tenant(), n, bucket.waitMs(limit.ratePerS()), messenger.self());
    }

    Map<String, Bucket> buckets() {
        return buckets;
    }
}
