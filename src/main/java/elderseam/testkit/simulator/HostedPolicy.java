package elderseam.testkit.simulator;

import elderseam.policy.DispatchPolicy;
import elderseam.policy.GiveUpReason;
import elderseam.policy.PolicyActions;
import java.util.function.Consumer;

/**
 * The policy of one simulated dispatcher. Its actions are appended to the reply of the current batch. A policy that throws is reported
 * to the simulator once and receives no further calls; the other dispatchers are not affected.
 */
final class HostedPolicy implements PolicyActions {
    private final String dispatcher;
    private final StringBuilder reply;

    /** Null before {@link #start} and after a fault of the policy. */
    private DispatchPolicy policy;

    private long lastBatch;

    /** Time of the current batch, in nanoseconds of the simulator's clock. */
    private long now;

    /**
     * Creates a dispatcher without its policy.
     *
     * @param dispatcher its name on the wire
     * @param reply takes the lines of its actions
     */
    HostedPolicy(String dispatcher, StringBuilder reply) {
        this.dispatcher = dispatcher;
        this.reply = reply;
    }

    String dispatcher() {
        return dispatcher;
    }

    /** Records that this dispatcher has an event in a batch; returns whether it is its first there. */
    boolean markActive(long batchCount, long batchTime) {
        now = batchTime;
        boolean first = lastBatch != batchCount;
        lastBatch = batchCount;
        return first;
    }

    /** Creates the policy with the settings that the rest of the line holds. */
    void start(LineFields settings, long seed) {
        runGuarded(() -> policy = new DispatchPolicy(WireCodec.settings(settings), seed, this));
    }

    /** Calls the policy, unless it has failed before. */
    void call(Consumer<DispatchPolicy> call) {
        if (policy != null) {
            runGuarded(() -> call.accept(policy));
        }
    }

    /** Catches every unchecked exception, as a fault of one dispatcher's policy must not end the simulation. */
    private void runGuarded(Runnable action) {
        try {
            action.run();
        } catch (WireException e) {
            throw e;
        } catch (RuntimeException e) {
            policy = null;
            StackTraceElement[] stackTrace = e.getStackTrace();
            String description = e + (stackTrace.length > 0 ? " at " + stackTrace[0] : "");
            line("BROKEN").append(' ').append(description.replace('\n', ' ')).append('\n');
        }
    }

    private StringBuilder line(String action) {
        return reply.append(action).append(' ').append(dispatcher);
    }

    @Override
    public void send(String requestId, String endpoint, long stopAtNanos, boolean sharesCall) {
        StringBuilder line = line("FORWARD");
        line.append(' ').append(requestId);
        line.append(' ').append(endpoint);
        line.append(' ').append(stopAtNanos).append('\n');
    }

    @Override
    public void cancel(String requestId, int attempt) {
        StringBuilder line = line("RETRACT");
        line.append(' ').append(requestId);
        line.append(' ').append(attempt).append('\n');
    }

    @Override
    public void reject(String requestId, long retryAfterNanos, GiveUpReason reason) {
        StringBuilder line = line("BOUNCE");
        line.append(' ').append(requestId);
        line.append(' ').append(retryAfterNanos).append('\n');
        policy.settled(now, requestId); // the simulator's clients hear it at once
    }

    @Override
    public void fail(String requestId, GiveUpReason reason) {
        line("FAIL").append(' ').append(requestId).append('\n');
        policy.settled(now, requestId);
    }

    @Override
    public void timer(long token, long delayNanos) {
        line("ARM").append(' ').append(token).append(' ').append(delayNanos).append('\n');
    }

    @Override
    public void disconnect(String endpoint) {
        line("DISCONNECT").append(' ').append(endpoint).append('\n');
    }

    @Override
    public void subscribe() {
        line("LISTEN").append(" 1\n");
    }

    @Override
    public void breakerOpened(String breaker, String cause) {
        StringBuilder line = line("LOG");
        line.append(" open ").append(breaker);
        line.append(": ").append(cause).append('\n');
    }

    @Override
    public void breakerClosed(String breaker) {
        line("LOG").append(" closed ").append(breaker).append('\n');
    }
}
