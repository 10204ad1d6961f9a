package elderseam.policy;

/** The content of an update of the endpoint list. */
public enum ListUpdateKind {
    /** Only the entries that changed. */
    CHANGES,
    /** The complete list. */
    COMPLETE,
    /** The last known complete list. */
    CACHED,
    /** Nothing, since the list could not be fetched. */
    FAILED
}
