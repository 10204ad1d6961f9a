package elderseam.testkit.emulator;

import elderseam.core.ActiveRequest;
import elderseam.core.AttemptListener;
import elderseam.core.AttemptOutcome;
import elderseam.core.AttemptOutcome.Status;
import elderseam.core.FinalOutcome;
import elderseam.policy.EndpointStatus;
import elderseam.policy.ListUpdateKind;
import elderseam.policy.ListedEndpoint;
import elderseam.policy.RequestClass;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * A dispatcher around a {@link BaselinePolicy}. It keeps the rules that every dispatcher must keep: one attempt of a request at a time,
 * no repeat of a request that may have run unless its class allows one, its slots, answers in time, and only listed endpoints. Whether
 * an attempt may go out now, and to which endpoint, is the policy's decision. It keeps no journal: requests that it holds are lost with
 * its process, unless the map that holds them outlasts it.
 */
final class BaselineDispatcher implements EmulatedDispatcher {
    /** Time before a request's deadline at which it is answered at the latest. */
    private static final long ANSWER_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private static final long CONNECT_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);
    private static final long MIN_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final long MAX_BACKOFF_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final int MAX_BACKOFF_DOUBLINGS = 10;

    /** How long after its creation a keyed request is repeated: less than the window of its key. */
    private static final long KEYED_REPEAT_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** A request that was accepted and has no final answer yet. */
    static final class HeldRequest {
        private final ActiveRequest.Message message;
        private int attempts;
        private boolean inFlight;

        /** Whether an attempt may have taken effect without a confirmation. */
        private boolean mayHaveRun;

        private HeldRequest(ActiveRequest.Message message) {
            this.message = message;
        }

        private long answerBy() {
            return message.deadline() - ANSWER_MARGIN_NANOS;
        }

        private boolean mayBeRepeated(long now) {
            if (!mayHaveRun) {
                return true;
            }
            RequestClass requestClass = Policies.CLASSES.get(message.classIndex());
            long created = message.deadline() - requestClass.deadlineNs();
            return switch (requestClass.idempotency()) {
                case SAFE -> true;
                case KEYED -> now - created < KEYED_REPEAT_NANOS;
                case UNSAFE -> false;
            };
        }
    }

    private final Place place;
    private final BaselinePolicy policy;
    private final Map<String, HeldRequest> held;
    private final Map<Long, List<String>> endpoints = new HashMap<>();
    private boolean closing;
    private int inFlight;

    BaselineDispatcher(Place place, BaselinePolicy policy) {
        this(place, policy, new LinkedHashMap<>());
    }

    /** Creates a dispatcher that goes on with the requests that an earlier process held, and keeps its own in the same map. */
    BaselineDispatcher(Place place, BaselinePolicy policy, Map<String, HeldRequest> held) {
        this.place = place;
        this.policy = policy;
        this.held = held;
        for (HeldRequest request : held.values()) {
            request.mayHaveRun |= request.inFlight;
            request.inFlight = false;
            place.at(Math.max(place.time().now(), request.answerBy()), () -> expire(request));
            place.at(place.time().now(), () -> resume(request));
        }
    }

    @Override
    public void hosts(ListUpdateKind kind, List<ListedEndpoint> list) {
        if (kind == ListUpdateKind.COMPLETE) {
            endpoints.clear();
        }
        for (ListedEndpoint endpoint : list) {
            List<String> addresses = endpoints.computeIfAbsent(endpoint.destination(), any -> new ArrayList<>());
            addresses.remove(endpoint.address());
            if (endpoint.status() == EndpointStatus.READY) {
                addresses.add(endpoint.address());
            }
            policy.listed(endpoint);
        }
    }

    @Override
    public void closing(long end) {
        closing = true;
    }

    @Override
    public FinalOutcome take(ActiveRequest.Message message) {
        if (held.containsKey(message.id())) {
            return null;
        }
        boolean full = held.size() >= place.plan().fleet().maxHeld();
        if (closing || full || !endpoints.containsKey(message.destination())) {
            return FinalOutcome.rejected(Policies.AGAIN_NS);
        }
        HeldRequest request = new HeldRequest(message);
        held.put(message.id(), request);
        place.at(request.answerBy(), () -> expire(request));
        place.at(place.time().now(), () -> tryNow(request));
        return null;
    }

    private boolean isHeld(HeldRequest request) {
        return held.get(request.message.id()) == request;
    }

    private void tryNow(HeldRequest request) {
        if (!isHeld(request) || request.inFlight || closing) {
            return;
        }
        long now = place.time().now();
        BaselinePolicy.Decision decision = decide(request, now);
        if (decision instanceof BaselinePolicy.Send send) {
            send(request, send.endpoint(), now);
        } else if (decision instanceof BaselinePolicy.Wait wait) {
            place.at(now + wait.nanos(), () -> tryNow(request));
        } else {
            finishUndelivered(request, request.mayHaveRun);
        }
    }

    private BaselinePolicy.Decision decide(HeldRequest request, long now) {
        long destination = request.message.destination();
        List<String> addresses = endpoints.getOrDefault(destination, List.of());
        if (inFlight >= place.plan().fleet().slots() || addresses.isEmpty()) {
            return BaselinePolicy.waitFor(MIN_BACKOFF_NANOS);
        }
        return policy.decide(destination, addresses, now);
    }

    private void send(HeldRequest request, String endpoint, long now) {
        request.inFlight = true;
        request.attempts++;
        inFlight++;
        policy.sent(request.message.destination(), endpoint);
        long answerBy = request.answerBy();
        long connectBy = Math.min(now + CONNECT_TIMEOUT_NANOS, answerBy);
        place.send(request.message, endpoint, connectBy, answerBy, new AttemptListener() {
            @Override
            public boolean maySend() {
                return isHeld(request);
            }

            @Override
            public void ended(AttemptOutcome outcome) {
                attemptEnded(request, endpoint, now, outcome);
            }

            @Override
            public void answeredLate(AttemptOutcome outcome) {
                // the attempt has ended for this dispatcher
            }
        });
    }

    private void attemptEnded(HeldRequest request, String endpoint, long start, AttemptOutcome outcome) {
        long now = place.time().now();
        boolean delivered = outcome.status() == Status.DELIVERED;
        request.inFlight = false;
        inFlight--;
        request.mayHaveRun |= outcome.mayHaveRun() && !delivered;
        policy.ended(request.message.destination(), endpoint, now - start, outcome, now);
        if (!isHeld(request)) {
            return;
        }
        if (delivered) {
            finish(request, FinalOutcome.DELIVERED);
        } else if (!request.mayBeRepeated(now)
                || request.attempts >= place.plan().fleet().maxAttempts()) {
            finishUndelivered(request, request.mayHaveRun);
        } else {
            long backoff = MIN_BACKOFF_NANOS << Math.min(MAX_BACKOFF_DOUBLINGS, request.attempts);
            long delay = Math.max(outcome.retryAfterNs(), Math.min(MAX_BACKOFF_NANOS, backoff));
            place.at(now + delay, () -> tryNow(request));
        }
    }

    /** Goes on with a request of an earlier process. */
    private void resume(HeldRequest request) {
        if (isHeld(request) && !request.mayBeRepeated(place.time().now())) {
            finish(request, FinalOutcome.FAILED);
        } else {
            tryNow(request);
        }
    }

    private void expire(HeldRequest request) {
        if (isHeld(request)) {
            finishUndelivered(request, request.mayHaveRun || request.inFlight);
        }
    }

    private void finishUndelivered(HeldRequest request, boolean mayHaveRun) {
        finish(request, mayHaveRun ? FinalOutcome.FAILED : FinalOutcome.rejected(Policies.AGAIN_NS));
    }

    private void finish(HeldRequest request, FinalOutcome outcome) {
        held.remove(request.message.id());
        place.ended(request.message, outcome);
    }
}
