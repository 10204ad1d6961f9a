package elderseam.gossip;

/**
 * The state of a member as another member sees it. Within one incarnation a later constant overrides an earlier one
 * (SWIM, section 4.2), so the order of the constants matters.
 */
public enum MemberState {
    ALIVE(0),
    /** Did not answer a probe; considered dead unless it refutes the suspicion in time. */
    SUSPECT(1),
    DEAD(2),
    /** Announced its departure from the fleet before it stopped. */
    LEFT(3);

    private static final MemberState[] BY_WIRE_CODE = {ALIVE, SUSPECT, DEAD, LEFT};

    private final int wireCode;

    MemberState(int wireCode) {
        this.wireCode = wireCode;
    }

    /** Returns whether a member in this state is part of the fleet: it is neither dead nor has left. */
    public boolean isPresent() {
        return this == ALIVE || this == SUSPECT;
    }

    /** Returns the byte that encodes this state in packets. */
    int wireCode() {
        return wireCode;
    }

    /**
     * Returns the state that a byte of a packet encodes.
     *
     * @throws MalformedPacketException if no state has that wire code
     */
    static MemberState fromWireCode(int wireCode) {
        if (wireCode < 0 || wireCode >= BY_WIRE_CODE.length) {
            throw new MalformedPacketException();
        }
        return BY_WIRE_CODE[wireCode];
    }
}
