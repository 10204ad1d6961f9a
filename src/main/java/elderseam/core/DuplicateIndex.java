package elderseam.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Maps a deduplication key to the first request in flight with that key and to the duplicates that wait for its
 * outcome. Does no I/O; confined to the event-loop thread.
 */
final class DuplicateIndex {
    private record Group(ActiveRequest first, List<ActiveRequest.Message> duplicates) {}

    private final Map<String, Group> groupsByKey = new HashMap<>();
    private final Map<String, String> keysByWaitingId = new HashMap<>();

    /** Registers the first request in flight with its key. */
    void addFirst(ActiveRequest first) {
        groupsByKey.put(first.message.deduplicationKey(), new Group(first, new ArrayList<>(1)));
    }

    /** Finds the first request in flight that has one of the given keys. */
    Optional<ActiveRequest> findFirst(String key, List<String> alternateKeys) {
        Group group = groupsByKey.get(key);
        for (int i = 0; group == null && i < alternateKeys.size(); i++) {
            group = groupsByKey.get(alternateKeys.get(i));
        }
        return group == null ? Optional.empty() : Optional.of(group.first);
    }

    /** Adds a message that waits for the outcome of the given request. */
    void addDuplicate(ActiveRequest.Message duplicate, ActiveRequest first) {
        String key = first.message.deduplicationKey();
        groupsByKey.get(key).duplicates.add(duplicate);
        keysByWaitingId.put(duplicate.id(), key);
    }

    /** Whether the message with the given id waits for the outcome of another. */
    boolean isWaiting(String id) {
        return keysByWaitingId.containsKey(id);
    }

    /** The number of waiting messages. */
    int waitingCount() {
        return keysByWaitingId.size();
    }

    /** Removes a completed request. Returns the messages that waited for its outcome, in order of arrival. */
    List<ActiveRequest.Message> complete(ActiveRequest first) {
        String key = first.message.deduplicationKey();
        Group group = groupsByKey.get(key);
        if (group == null || group.first != first) {
            return List.of();
        }
        groupsByKey.remove(key);
        group.duplicates.forEach(duplicate -> keysByWaitingId.remove(duplicate.id()));
        return group.duplicates;
    }

    /**
     * Removes a message that has waited for as long as it may. Returns its outcome, or empty if it no longer waits. The
     * message is rejected, and may be retried, if the first request has certainly not run; otherwise it has failed.
     */
    Optional<FinalOutcome> expire(ActiveRequest.Message duplicate, long retryAfterNs) {
        String key = keysByWaitingId.remove(duplicate.id());
        if (key == null) {
            return Optional.empty();
        }
        Group group = groupsByKey.get(key);
        group.duplicates.removeIf(other -> other.id().equals(duplicate.id()));
        boolean firstMayHaveRun = group.first.mayHaveRun || group.first.inFlightCall != null;
        return Optional.of(firstMayHaveRun ? FinalOutcome.FAILED : FinalOutcome.rejected(retryAfterNs));
    }
}
