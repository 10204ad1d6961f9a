package elderseam.core;

import java.util.List;

/** The counters that operators read, each counted where its event happens; they begin at 0 with the process. */
final class Metrics {
    private static final class Counts {
        long success, busy, failure, calls;
    }

    private final Counts[] byClass;
    private long calls;

    Metrics(int classes) {
        byClass = new Counts[classes];
        for (int i = 0; i < classes; i++) {
            byClass[i] = new Counts();
        }
    }

    /** A message has its end. What ended elsewhere is counted there. */
    void ended(int cls, FinalOutcome answer) {
        Counts c = byClass[cls];
        switch (answer.kind()) {
            case DELIVERED -> c.success++;
            case REFUSED -> c.busy++;
            case FAILED -> c.failure++;
            case OVER -> {}
        }
    }

    /** The last byte of a call was written. */
    void called(int cls) {
        byClass[cls].calls++;
        calls++;
    }

    /** A line for each figure: {@code edge_relay.NAME=NUMBER}. */
    void lines(List<String> classes, List<String> into) {
        for (int i = 0; i < byClass.length; i++) {
            String at = "edge_relay.calls." + classes.get(i) + ".";
            into.add(at + "success=" + byClass[i].success);
            into.add(at + "busy=" + byClass[i].busy);
            into.add(at + "failure=" + byClass[i].failure);
            into.add(at + "backend_calls=" + byClass[i].calls);
        }
        into.add("edge_relay.backend_calls=" + calls);
    }
}
