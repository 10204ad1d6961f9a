package elderseam.policy;

/** What an update of the endpoint list holds. */
public enum ListUpdateKind {
    /** Only the entries that changed. */
    CHANGES,
    /** The complete list. */
    COMPLETE,
    /** The last known complete list. */
    CACHED,
    /** Nothing: the list could not be had. */
    FAILED
}
