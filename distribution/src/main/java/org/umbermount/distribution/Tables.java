package org.umbermount.distribution;

import java.util.HashMap;
import java.util.Map;
import org.umbermount.control.Configuration;
import org.umbermount.control.RegisteredServer;
import org.umbermount.kernel.DaemonAddress;
import org.umbermount.kernel.InstanceId;
import org.umbermount.kernel.MessagePackCodec;
import org.umbermount.kernel.Role;
import org.umbermount.membership.MemberDescriptor;

/** How the entries of a table are packed. */
public final class Tables {
    private Tables() {}

    /** A server as a proxy sees it. {@code warmMs} counts from when the proxy learns of the server. */
    public record Instance(
            InstanceId id,
            String upstream,
            DaemonAddress address,
            String zone,
            int capacity,
            long warmMs,
            boolean draining) {}

    /** The table entries of a configuration, by their keys in a {@link RoutingTable}. */
    public static Map<String, byte[]> packConfiguration(Configuration r) {
        Map<String, byte[]> out = new HashMap<>();
        Configuration.Limits l = r.limits();
        out.put(
                RoutingTable.CONFIGURATION,
                MessagePackCodec.write()
                        .num(r.edition().value())
                        .num(l.maxHeaderBytes())
                        .num(l.maxBodyBytes())
                        .num(l.headerTimeoutMs())
                        .num(l.idleTimeoutMs())
                        .done());
        for (Configuration.Upstream u : r.upstreams()) {
            out.put(
                    RoutingTable.UPSTREAM + u.label(),
                    MessagePackCodec.write()
                            .text(u.label())
                            .text(u.healthCheck())
                            .num(u.maxConnections())
                            .flag(u.dedupCapable())
                            .done());
        }
        for (Configuration.Route route : r.routes()) {
            out.put(
                    RoutingTable.ROUTE + route.host() + route.prefix(),
                    MessagePackCodec.write()
                            .text(route.label())
                            .text(route.host())
                            .text(route.prefix())
                            .num(route.kind().ordinal())
                            .flag(route.anonymous())
                            .num(route.timeoutMs())
                            .num(route.targetLatencyMs())
                            .num(route.priority())
                            .num(route.maxTries())
                            .list(route.shares(), (o, s) -> o.text(s.upstream()).num(s.weight()))
                            .done());
        }
        for (Configuration.Tenant t : r.tenants()) {
            out.put(
                    RoutingTable.TENANT + t.label(),
                    MessagePackCodec.write()
                            .text(t.label())
                            .list(t.apiKeys(), MessagePackCodec.Writer::text)
                            .num(t.priority())
                            .num(Math.round(t.ratePerS() * 1_000))
                            .num(Math.round(t.burst() * 1_000))
                            .done());
        }
        return out;
    }

    /** Reads a tenant's entry. Rates travel in thousandths of a request per second. */
    public static Configuration.Tenant readTenant(byte[] packed) throws MessagePackCodec.UnreadableException {
        MessagePackCodec.Reader in = MessagePackCodec.read(packed);
        return new Configuration.Tenant(
                in.text(),
                in.list(MessagePackCodec.Reader::text),
                (int) in.num(),
                in.num() / 1_000.0,
                in.num() / 1_000.0);
    }

    /** The entry of a controller and its zone. */
    public static byte[] packController(DaemonAddress daemonAddress, String zone) {
        return MessagePackCodec.write().daemonAddress(daemonAddress).text(zone).done();
    }

    /** A controller as a table names it. */
    public static MemberDescriptor readController(byte[] packed) throws MessagePackCodec.UnreadableException {
        MessagePackCodec.Reader in = MessagePackCodec.read(packed);
        return new MemberDescriptor(in.daemonAddress(), Role.CONTROLLER, in.text(), 0);
    }

    /** Reads which controller performs a duty. */
    public static DaemonAddress readHolder(byte[] packed) throws MessagePackCodec.UnreadableException {
        return MessagePackCodec.read(packed).daemonAddress();
    }

    /** Reads the request limits out of the configuration's entry, behind its revision. */
    public static Configuration.Limits readLimits(byte[] packed) throws MessagePackCodec.UnreadableException {
        MessagePackCodec.Reader in = MessagePackCodec.read(packed);
        in.num();
        return new Configuration.Limits((int) in.num(), in.num(), in.num(), in.num());
    }

    /** Reads the entry of an upstream service. */
    public static Configuration.Upstream readUpstream(byte[] packed) throws MessagePackCodec.UnreadableException {
        MessagePackCodec.Reader in = MessagePackCodec.read(packed);
        return new Configuration.Upstream(in.text(), in.text(), (int) in.num(), in.flag());
    }

    /** Reads the entry of a route. */
    public static Configuration.Route readRoute(byte[] packed) throws MessagePackCodec.UnreadableException {
        MessagePackCodec.Reader in = MessagePackCodec.read(packed);
        return new Configuration.Route(
                in.text(),
                in.text(),
                in.text(),
                kind(in.num()),
                in.flag(),
                in.num(),
                in.num(),
                (int) in.num(),
                (int) in.num(),
                in.list(r -> new Configuration.Share(r.text(), r.num())));
    }

    /** The entry of a server instance. */
    public static byte[] packInstance(RegisteredServer e) {
        return MessagePackCodec.write()
                .text(e.id().value())
                .text(e.upstream())
                .daemonAddress(DaemonAddress.parse(e.address()))
                .text(e.zone())
                .num(e.capacity())
                .num(e.warmMs())
                .flag(e.standing() == RegisteredServer.Standing.DRAINING)
                .done();
    }

    /** Reads the entry of a server instance. */
    public static Instance readInstance(byte[] packed) throws MessagePackCodec.UnreadableException {
        MessagePackCodec.Reader in = MessagePackCodec.read(packed);
        return new Instance(
                new InstanceId(in.text()),
                in.text(),
                in.daemonAddress(),
                in.text(),
                (int) in.num(),
                in.num(),
                in.flag());
    }

    /** Reads the number of proxies that share the retry budgets. */
    public static int readFleet(byte[] packed) throws MessagePackCodec.UnreadableException {
        return (int) MessagePackCodec.read(packed).num();
    }

    private static Configuration.Kind kind(long ordinal) throws MessagePackCodec.UnreadableException {
        if (ordinal < 0 || ordinal >= Configuration.Kind.values().length) {
            throw new MessagePackCodec.UnreadableException("an unknown kind of route", null);
        }
        return Configuration.Kind.values()[(int) ordinal];
    }
}
