package org.umbermount.quota;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.umbermount.control.Configuration;
import org.umbermount.control.LeaseManager;
import org.umbermount.control.MajorityContact;
import org.umbermount.control.Replica;
import org.umbermount.control.StatusPage;
import org.umbermount.kernel.Messenger;
import org.umbermount.kernel.Plugin;
import org.umbermount.kernel.PluginHost;
import org.umbermount.kernel.Role;
import org.umbermount.kernel.Settings;

/** The counting of tenants as a plug-in of the controller. */
public final class QuotaGranterPlugin implements Plugin {
    private Replica replica;
    private QuotaGranter desk;

    @Override
    public String name() {
        return "quota";
    }

    @Override
    public int order() {
        return 26;
    }

    @Override
    public boolean serves(Role role) {
        return role == Role.CONTROLLER;
    }

    @Override
    public void open(PluginHost host) {
        replica = host.find(Replica.class);
        if (host.rules().guarantees(Settings.QUOTA)) {
            desk = new QuotaGranter(
                    host.clock(),
                    host.find(Messenger.class),
                    replica,
                    host.find(LeaseManager.class),
                    host.find(MajorityContact.class),
                    host.rules().bounds().sharing(),
                    host.metrics());
        }
        StatusPage page = host.findOrNull(StatusPage.class);
        if (page != null) {
            page.addSection(this::show);
        }
    }

    /** Tenants with how many keys they have; the keys themselves are never shown. */
    private void show(ObjectNode page) {
        Configuration regulations = replica.regulations();
        ArrayNode tenants = page.putArray("tenants");
        if (regulations == null) {
            return;
        }
        for (Configuration.Tenant t : regulations.tenants()) {
            ObjectNode one = tenants.addObject()
                    .put("tenant", t.label())
                    .put("keys", t.apiKeys().size())
                    .put("priority", t.priority())
                    .put("ratePerS", t.ratePerS())
                    .put("burst", t.burst());
            Bucket bucket = desk == null ? null : desk.buckets().get(t.label());
            if (bucket != null) {
                one.put("tokensHere", Math.floor(bucket.tokens() * 10) / 10);
            }
        }
    }
}
