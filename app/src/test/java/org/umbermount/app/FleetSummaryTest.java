package org.umbermount.app;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class FleetSummaryTest {
    private static final String WELL =
            "{'view':4,'edition':9,'newestEdition':9,'electorate':['a','b','c'],'chain':['a','b'],"
                    + "'controllers':[{'daemon':'b','zone':'y','connected':true},{'daemon':'c','zone':'x','connected':true}],"
                    + "'duties':{'x':{'holder':'a'},'y':{'holder':'b'},'quota/0':{'holder':''}},"
                    + "'servers':[{'upstream':'s','standing':'in_service'},{'upstream':'s','standing':'draining'}],"
                    + "'proxies':[{'zone':'x','heardMsAgo':20,'servedHere':true,'knownEdition':9}]}";

    private static FleetSummary of(String json) throws Exception {
        return new FleetSummary(new ObjectMapper().readTree(json.replace('\'', '"')));
    }

    private static void complains(String good, String bad, String sentence) throws Exception {
        assertTrue(WELL.contains(good), good);
        FleetSummary summary = of(WELL.replace(good, bad));
        assertFalse(summary.allWell());
        assertTrue(summary.toString().contains("! " + sentence), summary.toString());
    }

    @Test
    void fleetInOrderFitsOneScreen() throws Exception {
        FleetSummary summary = of(WELL);
        assertTrue(summary.allWell(), summary.toString());
        assertEquals(5, summary.toString().lines().count());
        assertTrue(summary.toString().contains("Service s: 1 draining, 1 in service."), summary.toString());
    }

    @Test
    void eachThingThatIsWrongHasItsSentence() throws Exception {
        complains(
                "'c','zone':'x','connected':true",
                "'c','zone':'x','connected':false",
                "Controller c of x is not connected.");
        complains("'electorate':['a','b','c']", "'electorate':['a','b','c','d','e','f']", "Fewer than a majority");
        complains("'newestEdition':9", "'newestEdition':10", "Edition 10 is held here and not committed.");
        complains("'y':{'holder':'b'}", "'y':{'holder':''}", "Zone y has no sender.");
        complains("'heardMsAgo':20", "'heardMsAgo':20000", "1 proxies of x have been silent");
        complains("'knownEdition':9", "'knownEdition':8", "1 proxies of x have not acknowledged edition 9.");
        complains("'standing':'in_service'", "'standing':'missed'", "Service s has no server in service.");
    }
}
