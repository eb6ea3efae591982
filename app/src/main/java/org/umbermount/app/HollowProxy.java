package org.umbermount.app;

import io.netty.channel.EventLoop;
import java.util.function.BiConsumer;
import org.umbermount.distribution.StateReceiver;
import org.umbermount.distribution.TableReceiverPlugin;
import org.umbermount.kernel.Messenger;
import org.umbermount.kernel.PluginHost;
import org.umbermount.kernel.Role;
import org.umbermount.kernel.Settings;
import org.umbermount.kernel.net.DatagramMessenger;
import org.umbermount.kernel.net.LoopClock;
import org.umbermount.membership.MembershipPlugin;

/** A proxy as the control plane knows it: it takes tables and gossips, and carries no traffic. Many fit into one process. */
final class HollowProxy {
    private final PluginHost pluginHost;
    private final DatagramMessenger mailroom;
    private final EventLoop loop;

    HollowProxy(Settings rules, EventLoop loop) {
        this.loop = loop;
        LoopClock clock = new LoopClock(loop);
        pluginHost = new PluginHost(Role.PROXY, rules, clock);
        mailroom = new DatagramMessenger(rules.ownMail(Role.PROXY), clock, pluginHost.metrics());
        pluginHost.offer(Messenger.class, mailroom);
    }

    /** Binds its address and opens its parts; {@code inForce} is told of each edition with the moment in nanoseconds. */
    void start(BiConsumer<HollowProxy, Long> inForce) throws InterruptedException {
        mailroom.bind(loop);
        loop.submit(() -> {
                    new MembershipPlugin().open(pluginHost);
                    new TableReceiverPlugin().open(pluginHost);
                    pluginHost
                            .find(StateReceiver.class)
                            .observe(t -> inForce.accept(this, t.edition().value()));
                })
                .awaitUninterruptibly();
    }

    private double sum(String prefix) {
        double[] total = new double[1];
        pluginHost.metrics().forEach((name, value) -> total[0] += name.startsWith(prefix) ? value : 0);
        return total[0];
    }

    double bytesIn() {
        return sum("mail.bytes.in");
    }

    double bytesOut() {
        return sum("mail.bytes.out.");
    }
}
