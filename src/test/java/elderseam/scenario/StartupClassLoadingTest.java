package elderseam.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What a start loads: nothing that the platform does not use. */
class StartupClassLoadingTest {
    private static final List<String> UNUSED = List.of(
            "io.cloudevents.",
            "com.fasterxml.jackson.databind.",
            "org.bouncycastle.",
            "org.shredzone.",
            "org.jose4j.",
            "elderseam.acme.",
            "elderseam.frontend.cloudevents.EventFrontend",
            "elderseam.frontend.cloudevents.EventCodec",
            "elderseam.frontend.cloudevents.EventDecoder",
            "elderseam.frontend.cloudevents.EventMessageMapper",
            "elderseam.frontend.cloudevents.EventResponse",
            "elderseam.app.CloudEventsSetup",
            "elderseam.app.GossipService",
            "elderseam.gossip.",
            "elderseam.rules.",
            "org.apache.commons.rng.",
            "org.HdrHistogram.",
            "org.knowm.",
            "elderseam.app.RulesSetup",
            "elderseam.http.HttpRequestAttributes",
            "elderseam.http.HeaderView",
            "com.google.re2j.",
            "com.dynatrace.",
            "inet.ipaddr.",
            "elderseam.cli.",
            "elderseam.testkit.",
            "picocli.",
            "elderseam.app.ClassArchiveTraining",
            "elderseam.fleet.",
            "elderseam.app.LeaseService",
            "elderseam.core.SkewedClock",
            "org.apache.ratis.",
            "com.sun.jmx.mbeanserver.JmxMBeanServer");

    @TempDir
    Path folder;

    private List<String> loaded(boolean events) throws Exception {
        Path classes = folder.resolve("classes.log");
        try (Scenario s = new Scenario(folder)) {
            s.launcher().setJvmFlag("-Xlog:class+load:file=" + classes + ":none");
            if (!events) {
                s.launcher().withoutEvents();
            }
            s.start();
            s.run("""
                    c send POST /status-update; X-Org: erongo-lettings; X-Addressing: dest=1; X-Remaining: 9000m; X-Txn: {id}
                    c expect 202
                    h1 expect X-Txn: {id}
                    h1 send 200
                    h1 wait quiet 100
                    """.replace("{id}", "events" + events));
        }
        try (Stream<String> lines = Files.lines(classes)) {
            return lines.map(l -> l.split(" ")[0])
                    .filter(c -> UNUSED.stream().anyMatch(c::startsWith))
                    .toList();
        }
    }

    @Test
    void theSecondFrontAndItsLibrariesAreNotLoadedWhileItIsOff() throws Exception {
        assertEquals(List.of(), loaded(false));
        assertTrue(loaded(true).contains("elderseam.app.CloudEventsSetup"), "the log shows what is on");
    }
}
