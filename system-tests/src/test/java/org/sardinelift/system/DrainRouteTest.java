package org.sardinelift.system;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.http.HttpRequest;
import org.junit.jupiter.api.Test;

/**
 * Guards against a drain by the operators' route that does not end the process, as SIGTERM does.
 */
class DrainRouteTest {
    @Test
    void aDrainEndsEntryAndCompanion() throws Exception {
        try (Fleet fleet = Fleet.start()) {
            fleet.startTarget("engine-1", "registry", true);
            fleet.startTarget("engine-2", "registry", true);
            fleet.startEntry("entry-1");
            fleet.startEntry("entry-2");
            fleet.awaitServing();

            for (String name : new String[] {"c-engine-1", "entry-1"}) {
                String url = "http://127.0.0.1:" + fleet.processes.get(name).port("operators");
                assertEquals(
                        202,
                        fleet.send(
                                        Fleet.request(url + "/drain")
                                                .POST(HttpRequest.BodyPublishers.noBody()))
                                .statusCode());
                assertEquals(0, fleet.processes.get(name).awaitExit(), name);
            }
        }
    }
}
