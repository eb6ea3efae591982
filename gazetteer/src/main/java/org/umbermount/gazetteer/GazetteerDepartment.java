package org.umbermount.gazetteer;

import java.util.List;
import java.util.Random;
import org.umbermount.kernel.Department;
import org.umbermount.kernel.HouseRules;
import org.umbermount.kernel.Imprint;
import org.umbermount.kernel.Institution;
import org.umbermount.kernel.Postbag;
import org.umbermount.kernel.Role;

/** Membership as a plug-in of every role. */
public final class GazetteerDepartment implements Department {
    private Gazetteer gazetteer;

    @Override
    public String name() {
        return "gazetteer";
    }

    @Override
    public int order() {
        return 10;
    }

    @Override
    public boolean serves(Role role) {
        return true;
    }

    @Override
    public void open(Institution institution) {
        HouseRules rules = institution.rules();
        Postbag post = institution.find(Postbag.class);
        Placename self = new Placename(post.self(), institution.role(), rules.zone(), 0);
        gazetteer = new Gazetteer(self, seeds(rules), institution.clock(), post, institution.tally(),
                new Random(institution.random().nextLong()));
        institution.offer(Gazetteer.class, gazetteer);
        institution.tally().gauge("gazetteer.view.size", () -> gazetteer.view().size());
        gazetteer.start();
    }

    @Override
    public void reread(HouseRules rules) {
        gazetteer.seeds(seeds(rules));
    }

    private static List<Imprint> seeds(HouseRules rules) {
        return rules.seedNodes().stream().map(s -> rules.mailAddress(s, Role.REGISTRAR)).toList();
    }
}
