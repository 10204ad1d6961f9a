package elderseam.core;

/**
 * Receives decoded records. Each method has the name of the {@link JournalRecordEncoder} method that writes the record
 * and describes it.
 */
interface JournalRecordHandler {
    void clock(String bootId, long monotonicMs, long steadyMs);

    /** The deduplication key of a message from an earlier record, or an empty string. */
    String keyOf(String id);

    void deduplicationKey(String id, String key);

    /** The ordering key of a message from an earlier record, or an empty string. */
    String orderKeyOf(String id);

    void orderKey(String id, String key);

    /**
     * Handles an accepted message.
     *
     * @param recordBytes size of the whole record in the file, in bytes, as in all methods
     */
    void accepted(ActiveRequest.Message message, int recordBytes);

    void acceptedDuplicate(ActiveRequest.Message message, int recordBytes);

    void attemptBegan(String id, long steadyMs, String zone);

    void attemptEnded(String id, boolean mayHaveRun);

    void attemptState(String id, AttemptHistory history);

    void completed(String id, JournalEntry entry);

    void notified(String id);

    void scheme(String name, byte[] text, int recordBytes);

    void drain(String endpoint, boolean drained, int recordBytes);
}
