package elderseam.core;

/**
 * Receives decoded records; the methods are named like those of {@link JournalRecordEncoder}, where the records are
 * described.
 */
interface JournalRecordHandler {
    void clock(String bootId, long monotonicMs, long steadyMs);

    /** The deduplication key that an earlier record gave a message, or an empty one. */
    String keyOf(String id);

    void deduplicationKey(String id, String key);

    /** The ordering key that an earlier record gave a message, or an empty one. */
    String orderKeyOf(String id);

    void orderKey(String id, String key);

    /** {@code recordBytes}: what the record takes of the file, as in all methods. */
    void accepted(ActiveRequest.Message message, int recordBytes);

    void acceptedDuplicate(ActiveRequest.Message message, int recordBytes);

    void attemptBegan(String id, long steadyMs);

    void attemptEnded(String id, boolean mayHaveRun);

    void attemptState(String id, int attempts, long firstMayHaveRunMs, long attemptBeganMs);

    void completed(String id, JournalEntry entry);

    void notified(String id);

    void scheme(String name, byte[] text, int recordBytes);

    void drain(String endpoint, boolean drained, int recordBytes);
}
