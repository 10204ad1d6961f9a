package elderseam.handover;

import elderseam.core.Handover;

/**
 * A message between the two processes of an upgrade, over one {@link HandoverChannel}. {@link HandoverFrameCodec}
 * defines its bytes. Immutable.
 */
public sealed interface HandoverFrame {
    /** Newer to older process: the newer one is warmed up and asks for the whole state. */
    record TransferRequest() implements HandoverFrame {}

    /**
     * Older to newer process: everything the newer one needs besides the journal. The older process has released the
     * {@link OwnershipLock} when it sends this.
     *
     * @param endpointList the endpoint list, as JSON in discovery's format
     * @param state what the policy has learned, and the attempts in flight
     * @param draining whether an operator's drain (LAMEDUCK) is in effect
     * @param configuration what the older process acts on
     */
    record StateTransfer(
            String endpointList, Handover.State state, boolean draining, ConfigurationReading configuration)
            implements HandoverFrame {
        /** A transfer by a release that does not tell its configuration. */
        public StateTransfer(String endpointList, Handover.State state, boolean draining) {
            this(endpointList, state, draining, ConfigurationReading.UNKNOWN);
        }
    }

    /**
     * A reading of the configuration that a process acts on.
     *
     * @param discoveryAddress host and port of discovery; empty if unknown
     * @param ageNs how long ago it was read, in nanoseconds
     */
    record ConfigurationReading(String discoveryAddress, long ageNs) {
        /** Of a process that does not tell. */
        public static final ConfigurationReading UNKNOWN = new ConfigurationReading("", Long.MAX_VALUE);

        /** Whether the process told what it acts on. */
        public boolean isKnown() {
            return !discoveryAddress.isEmpty();
        }
    }

    /** Newer to older process: the newer one holds the ownership lock and decides from now on. */
    record OwnershipConfirmed() implements HandoverFrame {}

    /** Newer to older process: stop waiting for this attempt. */
    record AttemptCancellation(String requestId, int attempt) implements HandoverFrame {}

    /** Older to newer process: an attempt that the older one had in flight has ended. */
    record AttemptCompletion(Handover.ForwardedOutcome attempt) implements HandoverFrame {}
}
