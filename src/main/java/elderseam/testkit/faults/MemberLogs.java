package elderseam.testkit.faults;

import elderseam.testkit.LogLine;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The events that the members of a cluster have logged. Any thread may use it. */
final class MemberLogs {
    private final Map<String, List<LogLine>> eventsByMember = new LinkedHashMap<>(); // guarded by this
    private volatile String leader = "";

    /** Takes an event that a member has logged. */
    void add(String member, LogLine event) {
        synchronized (this) {
            eventsByMember.computeIfAbsent(member, name -> new ArrayList<>()).add(event);
            notifyAll();
        }
        if (event.is("lease.leader_changed")) {
            leader = event.field("leader");
        }
    }

    /** Who leads the lease group, by the last event of any member; "" before the first. */
    String leader() {
        return leader;
    }

    /** Whether the last event whose name begins with {@code prefix} of that member is {@code text}, its name and fields. */
    synchronized boolean isLastEvent(String member, String prefix, String text) {
        List<LogLine> events = eventsByMember.getOrDefault(member, List.of());
        for (int i = events.size() - 1; i >= 0; i--) {
            if (events.get(i).event().startsWith(prefix)) {
                return events.get(i).text().equals(text);
            }
        }
        return text.isEmpty();
    }

    /** How many events of that name a member has logged. */
    synchronized long count(String member, String name) {
        return eventsByMember.getOrDefault(member, List.of()).stream()
                .filter(event -> event.is(name))
                .count();
    }

    /** Waits for the next event of any member; the caller holds this object's monitor. False once {@code deadlineNs} has passed. */
    boolean awaitEvent(long deadlineNs) throws IOException {
        return Waits.awaitNotify(this, deadlineNs);
    }
}
