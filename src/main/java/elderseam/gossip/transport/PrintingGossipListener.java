package elderseam.gossip.transport;

import elderseam.gossip.MemberState;
import java.util.function.Consumer;

/**
 * Prints each event as a line of text, for a terminal.
 *
 * @param lines receives the lines
 */
public record PrintingGossipListener(Consumer<String> lines) implements GossipListener {
    @Override
    public void started(String name, String address) {
        lines.accept(name + " started at " + address);
    }

    @Override
    public void memberChanged(String member, MemberState state) {
        lines.accept(member + " is " + state);
    }

    @Override
    public void memberRemoved(String member) {
        lines.accept(member + " was removed from the roster");
    }

    @Override
    public void countsChanged(String counts) {
        lines.accept(counts);
    }
}
