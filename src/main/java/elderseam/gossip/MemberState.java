package elderseam.gossip;

/** What is held of a member; a later one of the same incarnation outweighs an earlier one. */
public enum MemberState {
    ALIVE,
    SUSPECT,
    DEAD,
    LEFT
}
