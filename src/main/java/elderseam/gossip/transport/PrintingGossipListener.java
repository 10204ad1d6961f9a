package elderseam.gossip.transport;

import elderseam.gossip.MemberState;
import java.util.function.Consumer;

/**
 * Writes each observation as a sentence, for a terminal.
 *
 * @param lines gets the sentences
 */
public record PrintingGossipListener(Consumer<String> lines) implements GossipListener {
    @Override
    public void started(String name, String address) {
        lines.accept(name + " at " + address);
    }

    @Override
    public void memberChanged(String member, MemberState state) {
        lines.accept(member + " is " + state);
    }

    @Override
    public void memberRemoved(String member) {
        lines.accept(member + " is off the roster");
    }

    @Override
    public void countsChanged(String counts) {
        lines.accept(counts);
    }
}
