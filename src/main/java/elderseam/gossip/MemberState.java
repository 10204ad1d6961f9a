package elderseam.gossip;

/**
 * What a member believes of another. Within one incarnation a later constant overrides an earlier one (SWIM, section 4.2), so
 * their order matters.
 */
public enum MemberState {
    ALIVE(0),
    /** Did not answer a probe; considered dead unless it refutes the suspicion in time. */
    SUSPECT(1),
    DEAD(2),
    /** Said good-bye before it stopped. */
    LEFT(3);

    private static final MemberState[] BY_WIRE_CODE = {ALIVE, SUSPECT, DEAD, LEFT};

    private final int wireCode;

    MemberState(int wireCode) {
        this.wireCode = wireCode;
    }

    /** Whether a member in this state takes part in the fleet: neither dead nor left. */
    public boolean isPresent() {
        return this == ALIVE || this == SUSPECT;
    }

    /** The byte that stands for this state in packets. */
    int wireCode() {
        return wireCode;
    }

    /**
     * Returns the state of a byte in a packet.
     *
     * @throws MalformedPacketException if no state has that code
     */
    static MemberState fromWireCode(int wireCode) {
        if (wireCode < 0 || wireCode >= BY_WIRE_CODE.length) {
            throw new MalformedPacketException();
        }
        return BY_WIRE_CODE[wireCode];
    }
}
