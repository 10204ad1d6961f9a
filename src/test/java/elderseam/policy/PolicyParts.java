package elderseam.policy;

/** The parts of a policy with one listed endpoint, for tests of a part alone; the clock stands at 100 s. */
final class PolicyParts {
    static final long NOW = 100 * PolicyTestHarness.S;

    final PolicySettings settings = PolicyTestHarness.settings(8, new DestinationKind(false, 1), true);
    final PolicyContext context = new PolicyContext(settings, 7, PolicyTestHarness.simple(8));
    final EndpointDirectory directory = new EndpointDirectory(context);
    final EndpointState endpoint;
    final EndpointGroup group;
    private int requests;

    PolicyParts() {
        context.now = NOW;
        endpoint = directory.add(PolicyTestHarness.ready("a:1", 1, 0));
        endpoint.ready = true;
        group = endpoint.group;
    }

    /** A call with one request that began then. */
    AttemptRecord call(long start) {
        AttemptRecord call = new AttemptRecord(endpoint, start, context.turn);
        call.requests.add(request(0));
        return call;
    }

    /** A request of a class (0 safe, 1 keyed with a key for each zone, 2 unsafe) that has just arrived. */
    PendingRequest request(int requestClass) {
        var type = settings.classes().get(requestClass);
        var message = new PolicyRequest("r" + requests, requestClass, 0, -1, context.now + type.deadlineNs(), 1, false);
        return new PendingRequest(message, type, endpoint.destination, null, 1, requests++);
    }
}
