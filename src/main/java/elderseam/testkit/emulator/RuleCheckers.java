package elderseam.testkit.emulator;

import elderseam.core.AttemptOutcome;
import elderseam.core.FinalOutcome;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/**
 * The rules that any dispatcher must keep, checked on what happens alone: each message has one final answer, in time; a once-only one
 * takes effect once, a keyed one once in its window; one attempt of a message is out at a time, and no dispatcher has more out than
 * its slots; a told wait is kept, and so is an endpoint that drains. A cold partner that was pushed over is counted, not a fault.
 */
public final class RuleCheckers implements WorldListener {
    /** What can be broken. */
    public enum Rule {
        ANSWERED_TWICE("answered_twice"),
        LOST("lost"),
        LATE("late"),
        TWO_OUT("two_out"),
        ABOVE_SLOTS("above_slots"),
        EFFECT_TWICE("effect_twice"),
        WAIT_BROKEN("wait_broken"),
        DRAIN_BROKEN("drain_broken");

        private final String wireName;

        Rule(String wireName) {
            this.wireName = wireName;
        }

        /** The rule in reports and JSON, there after {@code broken_}; it outlives a rename of the constant. */
        public String wireName() {
            return wireName;
        }
    }

    private static final long MS = 1_000_000;
    private static final long LATE_NS = 50 * MS;
    private static final long DRAIN_GRACE_NS = 2_000 * MS;
    private static final long WAIT_GRACE_NS = MS;
    private static final long KEY_WINDOW_NS = 6_000 * MS;
    private static final long AWAY_NS = 1_500 * MS; // what a process owed while it was away it tells within this
    private static final int MOST_WORDS = 20;

    private final int slots;
    private final Map<String, Integer> out = new HashMap<>(); // by message
    private final Map<String, Long> ran = new HashMap<>(); // by message: when it last took effect
    private final Map<Integer, Integer> outOf = new HashMap<>(); // by dispatcher
    private final Map<String, Long> waits = new HashMap<>();
    private final Map<String, Long> drains = new HashMap<>(); // by dispatcher and destination or endpoint
    private final Map<Integer, Map<String, Integer>> outBy = new HashMap<>();
    private final Map<String, Integer> holders = new HashMap<>(); // by message: who took it on last
    private final Map<Integer, Long> started = new HashMap<>(); // by dispatcher, where it was started anew
    private final Map<Rule, Integer> broken = new LinkedHashMap<>();
    private final StringBuilder words = new StringBuilder();
    private int felled;
    private int told;

    public RuleCheckers(int slots) {
        this.slots = slots;
    }

    private void breaks(Rule rule, long now, String what) {
        broken.merge(rule, 1, Integer::sum);
        if (told++ < MOST_WORDS) {
            words.append(
                    String.format("%.3f s: %s: %s%n", now / 1e9, rule.wireName().toUpperCase(Locale.ROOT), what));
        }
    }

    @Override
    public void taken(long now, int dispatcher, Msg m) {
        holders.put(m.id(), dispatcher);
    }

    @Override
    public void answered(long now, Msg m, FinalOutcome answer) {
        if (m.cls() < 0) {
            breaks(Rule.ANSWERED_TWICE, now, m.id() + " is answered " + answer.kind() + " though nobody waits");
        } else if (now > m.deadline() + LATE_NS
                && now > started.getOrDefault(holders.getOrDefault(m.id(), -1), -AWAY_NS) + AWAY_NS) {
            breaks(Rule.LATE, now, m.id() + " is answered " + (now - m.deadline()) / MS + " ms after its deadline");
        }
    }

    @Override
    public void over(long now, Msg m, FinalOutcome.Kind kind) {
        if (kind == null) {
            breaks(Rule.LOST, now, m.id() + " never had an answer");
        }
        holders.remove(m.id());
        if (m.cls() == 0) {
            ran.remove(m.id());
        }
    }

    @Override
    public void called(long now, int dispatcher, Msg m, String endpoint) {
        if (out.merge(m.id(), 1, Integer::sum) > 1) {
            breaks(Rule.TWO_OUT, now, m.id() + " is sent to " + endpoint + " while another attempt is out");
        }
        outBy.computeIfAbsent(dispatcher, d -> new HashMap<>()).merge(m.id(), 1, Integer::sum);
        if (outOf.merge(dispatcher, 1, Integer::sum) > slots) {
            breaks(Rule.ABOVE_SLOTS, now, "dispatcher " + dispatcher + " has " + outOf.get(dispatcher) + " calls out");
        }
        if (now + WAIT_GRACE_NS < waits.getOrDefault(dispatcher + " " + m.destination(), 0L)) {
            breaks(Rule.WAIT_BROKEN, now, "dispatcher " + dispatcher + " calls " + m.destination() + " in a told wait");
        }
        if (now > drains.getOrDefault(dispatcher + " " + endpoint, Long.MAX_VALUE / 2) + DRAIN_GRACE_NS) {
            breaks(Rule.DRAIN_BROKEN, now, "dispatcher " + dispatcher + " calls " + endpoint + " that drains");
        }
    }

    @Override
    public void ended(long now, int dispatcher, Msg m, String endpoint, AttemptOutcome end) {
        out.merge(m.id(), -1, (a, b) -> a + b == 0 ? null : a + b);
        outOf.merge(dispatcher, -1, Integer::sum);
        outBy.get(dispatcher).merge(m.id(), -1, (a, b) -> a + b == 0 ? null : a + b);
    }

    /** What a process that ended had out is out no more, as far as it is concerned. */
    @Override
    public void process(long now, int dispatcher, boolean up) {
        if (up && now > 0) {
            started.put(dispatcher, now);
        }
        if (!up) {
            outBy.getOrDefault(dispatcher, Map.of())
                    .forEach((id, n) -> out.merge(id, -n, (a, b) -> a + b == 0 ? null : a + b));
            outBy.remove(dispatcher);
            outOf.remove(dispatcher);
            waits.keySet().removeIf(k -> k.startsWith(dispatcher + " ")); // it remembers none, and may be told anew
            drains.keySet().removeIf(k -> k.startsWith(dispatcher + " "));
        }
    }

    @Override
    public void ran(long now, Msg m) {
        Long last = ran.put(m.id(), now);
        boolean twice = last != null && (m.cls() == 2 || (m.cls() == 1 && now - last > KEY_WINDOW_NS));
        if (twice) {
            breaks(
                    Rule.EFFECT_TWICE,
                    now,
                    m.id() + " of class " + m.cls() + " takes effect again after " + (now - last) / MS + " ms");
        }
    }

    @Override
    public void waits(long now, int dispatcher, long destination, long until) {
        waits.merge(dispatcher + " " + destination, until, Math::max);
    }

    @Override
    public void drains(long now, int dispatcher, String endpoint) {
        drains.putIfAbsent(dispatcher + " " + endpoint, now);
    }

    @Override
    public void felled(long now, long destination) {
        felled++;
    }

    /** How often each rule was broken; empty where none was. */
    public Map<Rule, Integer> broken() {
        return broken;
    }

    /** The first breaks, a line each. */
    public String words() {
        return words.toString();
    }

    public int felled() {
        return felled;
    }
}
