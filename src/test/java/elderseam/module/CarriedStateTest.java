package elderseam.module;

import static org.junit.jupiter.api.Assertions.assertEquals;

import elderseam.compat.CoreProcess;
import elderseam.compat.Recorded;
import elderseam.module.Books.Destination;
import elderseam.module.Books.Target;
import elderseam.module.Sender.Listing;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongUnaryOperator;
import org.junit.jupiter.api.Test;

/**
 * The state that a sender passes on: which values, of which sort, in which order. Two fields whose places change read each other's
 * value, which reading and writing by the same code would not show, so each field is also compared by its name.
 */
class CarriedStateTest {
    private static final String VALUES = "learned/carried.txt", FIELDS = "learned/fields.txt", FRESH = "learned/fresh.txt";
    private static final long NOW = 9_000_000_000_000L;
    private static final Sender.Settings SETTINGS = CoreProcess.SETTINGS.settings();

    /** Notes each value with its sort. One that reads takes its values from {@code read}, and else makes them up where {@code made}. */
    private static final class Notes implements Sender.Ledger {
        final List<String> lines = new ArrayList<>();
        private final Iterator<String> read;
        private final Made made;

        private Notes(Iterator<String> read, Made made) {
            this.read = read;
            this.made = made;
        }

        private String pass(String sort, String own) {
            String line = sort + " " + (made != null ? made.next(sort) : own);
            if (read != null) {
                line = read.next();
                assertEquals(sort, line.split(" ")[0], "the sort of value " + lines.size());
            }
            lines.add(line);
            return line.substring(sort.length() + 1);
        }

        @Override
        public long whole(long value) {
            return Long.parseLong(pass("whole", "" + value));
        }

        @Override
        public double real(double value) {
            return Double.parseDouble(pass("real", "" + value));
        }

        @Override
        public long time(long value) {
            return Long.parseLong(pass("time", "" + value));
        }

        @Override
        public boolean flag(boolean value) {
            return Boolean.parseBoolean(pass("flag", "" + value));
        }

        @Override
        public String text(String value) {
            return pass("text", value);
        }
    }

    /** Values that differ all: three endpoints of as many destinations, and what is kept besides. */
    private static final class Made {
        private int number, endpoint = -1, wholes, flags;

        String next(String sort) {
            number++;
            switch (sort) {
                case "text" -> {
                    endpoint++;
                    wholes = flags = 0;
                    return "h" + endpoint;
                }
                case "whole" -> {
                    if (endpoint < 0) {
                        return "3";   // endpoints
                    }
                    int place = wholes++;
                    return "" + (place == 0 ? 50 + endpoint : place == 1 ? endpoint % 2 : place == 2 ? (endpoint + 1) % 2
                            : place == 5 ? endpoint : number);   // destination, kind, zone, and the breaker's state
                }
                case "flag" -> {   // a pattern of its own over the three endpoints for each of the first seven
                    return "" + ((++flags >> endpoint & 1) == 1 || flags >= 7);
                }
                case "real" -> {
                    return "" + (number + 0.5);
                }
                default -> {
                    return "" + (NOW - 1_000_000_000L * number);
                }
            }
        }
    }

    private static List<String> carry(Notes notes) {
        Brain brain = new Brain(SETTINGS, 3, new Rig(SETTINGS, 3));
        brain.carry(NOW, notes);
        Notes written = new Notes(null, null);
        brain.carry(NOW, written);
        return written.lines;
    }

    @Test
    void whatIsReadIsWrittenAgain() throws IOException {
        if (Recorded.wanted(VALUES)) {
            Recorded.assertLines(VALUES, carry(new Notes(null, new Made())));
        }
        List<String> recorded = Recorded.lines(VALUES);
        Notes read = new Notes(recorded.iterator(), null);
        Recorded.assertLines(VALUES, carry(read));
        assertEquals(recorded, read.lines, "all is read");
    }

    /** One that has done nothing yet: what follows the endpoints has values of its own, by which its order is seen. */
    @Test
    void aFreshSenderWritesAsBefore() throws IOException {
        Brain brain = new Brain(SETTINGS, 3, new Rig(SETTINGS, 3));
        brain.endpoints(NOW, Sender.ListKind.WHOLE, List.of(Rig.endpoint("a1", 5, 1, Listing.READY)));
        Notes written = new Notes(null, null);
        brain.carry(NOW, written);
        Recorded.assertLines(FRESH, written.lines);
    }

    @Test
    void eachFieldHasItsPlace() throws IOException {
        Brain brain = new Brain(SETTINGS, 3, new Rig(SETTINGS, 3));
        Map<String, Target> endpoints = new LinkedHashMap<>();
        Books.carry(new Notes(Recorded.lines(VALUES).iterator(), null), endpoints, e -> {
            Destination d = new Destination(e.destination(), SETTINGS.kinds().get(e.kind()), NOW);
            d.kindNo = e.kind();
            Target t = new Target(e.address(), e.zone(), d, brain.new Circuit(e.address(), NOW), SETTINGS);
            endpoints.put(e.address(), t);
            return t;
        });
        List<String> fields = new ArrayList<>();
        endpoints.values().forEach(t -> fields.addAll(fields(t)));
        Recorded.assertLines(FIELDS, fields);
    }

    private static List<String> fields(Target t) {
        Brain.Circuit c = t.circuit;
        LongUnaryOperator ago = time -> (NOW - time) / 1_000_000_000L;
        return List.of("endpoint " + t.address, "destination " + t.dest.id, "kind " + t.dest.kindNo, "zone " + t.zone, "ready " + t.ready,
                "gone " + t.gone, "bias " + t.bias, "last used " + ago.applyAsLong(t.usedAt), "cold since " + ago.applyAsLong(t.coldFrom),
                "next cold call " + ago.applyAsLong(t.nextCold), "failures of class 0 " + t.failures[0], "rest of class 0 " + ago.applyAsLong(t.restUntil[0]),
                "failures of class 1 " + t.failures[1], "rest of class 1 " + ago.applyAsLong(t.restUntil[1]), "breaker state " + c.state.ordinal(),
                "opened by a hang " + c.byHang, "open until " + ago.applyAsLong(c.openUntil), "Retry-After until " + ago.applyAsLong(c.waitUntil),
                "last success " + ago.applyAsLong(c.lastGood), "successes since " + ago.applyAsLong(c.goodStart),
                "consecutive failures since " + ago.applyAsLong(c.runFrom), "down since " + ago.applyAsLong(c.downFrom),
                "consecutive failures " + c.run, "baseline latency " + c.usual, "recent latency " + c.recent, "weight " + c.weight,
                "own rate " + c.norm, "weight at the last cut " + c.cutWeight, "pace " + c.pace, "pace level " + c.level,
                "failure rate " + c.sick, "refilled " + ago.applyAsLong(c.refilled), "paused until " + ago.applyAsLong(c.pauseUntil),
                "pause " + c.pause, "last cut " + ago.applyAsLong(c.lastCut), "last full " + ago.applyAsLong(c.lastFull),
                "last failure " + ago.applyAsLong(c.lastBad), "ramp since " + ago.applyAsLong(c.rampFrom), "ramping " + c.ramping,
                "limit advertised " + c.told, "headroom " + c.room, "calls " + c.window.calls(), "failed " + c.window.failed());
    }
}
