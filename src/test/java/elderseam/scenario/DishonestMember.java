package elderseam.scenario;

import elderseam.core.Clock;
import elderseam.gossip.GossipTimings;
import elderseam.gossip.HealthReport;
import elderseam.gossip.OwnBreaker;
import elderseam.gossip.transport.GossipConfiguration;
import elderseam.gossip.transport.GossipTransport;
import elderseam.gossip.transport.PrintingGossipListener;
import elderseam.http.IoLoop;
import elderseam.http.XnioStartup;
import elderseam.settings.Settings;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/** A member on the roster, in a process of its own, that says of destinations 1 and 2 that they are down, whatever they are. */
final class DishonestMember {
    private DishonestMember() {}

    public static void main(String[] args) throws Exception {
        GossipConfiguration opening = GossipConfiguration.read(Settings.read(Path.of(args[0])));
        XnioStartup.configure();
        IoLoop io = new IoLoop(new Clock());
        io.run(() -> {
            try {
                new GossipTransport(
                        io,
                        opening.transport(),
                        opening.keyring(),
                        GossipTimings.DEFAULTS,
                        new GossipTransport.Callbacks(
                                () -> List.of(
                                        new OwnBreaker(1, HealthReport.State.OPEN, 10_000, 100, 100),
                                        new OwnBreaker(2, HealthReport.State.OPEN, 10_000, 100, 100)),
                                (destination, advice) -> {},
                                new PrintingGossipListener(System.err::println)));
            } catch (IOException e) {
                e.printStackTrace();
                Runtime.getRuntime().halt(1);
            }
        });
    }
}
