package elderseam.scenario;

import elderseam.core.Clock;
import elderseam.gossip.Agent;
import elderseam.gossip.Claim;
import elderseam.gossip.Tempo;
import elderseam.gossip.net.Opening;
import elderseam.gossip.net.Post;
import elderseam.http.Io;
import elderseam.http.Lean;
import elderseam.settings.Keys;
import elderseam.settings.Settings;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/** A member on the roster, in a process of its own, that says of destinations 1 and 2 that they are down, whatever they are. */
final class LyingPeer {
    private LyingPeer() {}

    public static void main(String[] args) throws Exception {
        Opening opening = Opening.read(Settings.read(Path.of(args[0]), Keys.ALL, Keys.CONTRADICTIONS));
        Lean.start();
        Io io = new Io(new Clock());
        io.run(() -> {
            try {
                new Post(
                        io,
                        opening.place(),
                        opening.keys(),
                        Tempo.USUAL,
                        new Post.Ties(
                                () -> List.of(
                                        new Agent.Own(1, Claim.State.OPEN, 10_000, 100, 100),
                                        new Agent.Own(2, Claim.State.OPEN, 10_000, 100, 100)),
                                (destination, word) -> {},
                                System.err::println));
            } catch (IOException e) {
                e.printStackTrace();
                Runtime.getRuntime().halt(1);
            }
        });
    }
}
