package elderseam.fleet.lease;

/** Who holds a lease, as one member knows it. */
public enum LeaseOwner {
    /** This member, surely and by its own clock. */
    THIS_MEMBER,
    /** Another member, by the group's last answer. */
    ANOTHER_MEMBER,
    /** Nobody, as far as this member knows; also where the group does not answer. */
    UNKNOWN;

    /** Returns the owner, where holding the lease outranks a last answer that names another. */
    public static LeaseOwner of(boolean heldHere, boolean heldByAnother) {
        if (heldHere) {
            return THIS_MEMBER;
        }
        return heldByAnother ? ANOTHER_MEMBER : UNKNOWN;
    }
}
