package elderseam.fleet.lease;

/** The holder of a lease, from the point of view of one member. */
public enum LeaseOwner {
    /** This member holds the lease; its validity has not expired on this member's clock. */
    THIS_MEMBER,
    /** Another member holds the lease, according to the group's last reply. */
    ANOTHER_MEMBER,
    /** This member knows of no holder, for example because the group does not reply. */
    UNKNOWN;

    /** Returns the holder. If this member holds the lease, an earlier reply that names another holder is ignored. */
    public static LeaseOwner of(boolean heldHere, boolean heldByAnother) {
        if (heldHere) {
            return THIS_MEMBER;
        }
        return heldByAnother ? ANOTHER_MEMBER : UNKNOWN;
    }
}
