package elderseam.frontend.platform;

import elderseam.core.ActiveRequest;
import elderseam.core.Clock;
import elderseam.core.SettingsMap;
import elderseam.http.HttpServer;
import java.util.List;
import java.util.regex.Pattern;

/** Decodes requests of the platform's clients into messages. Confined to the I/O thread. */
final class PlatformRequestDecoder {
    /** The header with the remaining time for which the sender of a request waits. */
    static final String REMAINING_HEADER = "X-Remaining";

    /** The result of {@link #parseRemainingNs} for a malformed time. */
    static final long MALFORMED_TIME = -1;

    private static final Pattern REQUEST_ID = Pattern.compile("[0-9A-Za-z_.:-]{1,64}");
    private static final Pattern DESTINATION = Pattern.compile("dest=\\d{1,18}");
    private static final int DESTINATION_PREFIX_LENGTH = "dest=".length();
    private static final Pattern REMAINING = Pattern.compile("\\d{1,12}[mu]");
    private static final long NS_PER_MICROSECOND = 1_000;
    private static final int MAX_IDEMPOTENCY_KEY_CHARS = 256;

    /** The query parameter with the ordering key; used only in classes that preserve order per key. */
    private static final String ORDER_KEY_PARAMETER = "thread";

    private static final int MAX_ORDER_KEY_CHARS = 256;

    private final Clock clock;
    private final List<String> classes;
    private final List<String> tenants;

    /** For each class index, whether the class preserves the order of requests with the same ordering key. */
    private final List<Boolean> preservesOrder;

    PlatformRequestDecoder(Clock clock, SettingsMap settings) {
        this.clock = clock;
        this.classes = settings.names("services");
        this.tenants = settings.names("orgs");
        this.preservesOrder = settings.orderedClasses();
    }

    /**
     * Decodes a request. The path is the name of its class. An unknown tenant is treated as no tenant.
     *
     * @throws InvalidRequestException if the request does not follow the protocol
     */
    ActiveRequest.Message decode(HttpServer.Request request) throws InvalidRequestException {
        int classIndex = classIndex(request);
        String id = request.header("X-Txn");
        if (!REQUEST_ID.matcher(id).matches()) {
            throw new InvalidRequestException(400, "bad X-Txn");
        }
        long remainingNs = parseRemainingNs(request.header(REMAINING_HEADER));
        if (remainingNs == MALFORMED_TIME) {
            throw new InvalidRequestException(400, "bad X-Remaining");
        }
        long destination = parseDestination(request.header("X-Addressing"));
        String idempotencyKey = request.header("Idempotency-Key");
        if (idempotencyKey.length() > MAX_IDEMPOTENCY_KEY_CHARS) {
            throw new InvalidRequestException(400, "bad Idempotency-Key");
        }
        String orderKey = orderKey(request, classIndex);
        long deadline = clock.now() + remainingNs;
        return new ActiveRequest.Message(
                id,
                PlatformFrontend.NUMBER,
                classIndex,
                tenants.indexOf(request.header("X-Org")),
                destination,
                deadline,
                deadline,
                !request.header("X-Resent").isEmpty(),
                true,
                idempotencyKey,
                request.body(),
                "",
                orderKey);
    }

    private int classIndex(HttpServer.Request request) throws InvalidRequestException {
        String path = request.path();
        int classIndex = classes.indexOf(path.startsWith("/") ? path.substring(1) : path);
        if (classIndex < 0) {
            throw new InvalidRequestException(404, "no such class");
        }
        if (!request.method().equals("POST")) {
            throw new InvalidRequestException(405, "only POST");
        }
        String laneClass = request.header("X-Lane");
        if (!laneClass.isEmpty() && classes.indexOf(laneClass) != classIndex) {
            throw new InvalidRequestException(400, "X-Lane is not the class of the path");
        }
        return classIndex;
    }

    /** The ordering key; empty if the request has none or its class does not preserve order. */
    private String orderKey(HttpServer.Request request, int classIndex) throws InvalidRequestException {
        if (!preservesOrder.get(classIndex)) {
            return "";
        }
        String orderKey = QueryParameters.value(request.query(), ORDER_KEY_PARAMETER);
        if (orderKey.length() > MAX_ORDER_KEY_CHARS) {
            throw new InvalidRequestException(400, "bad " + ORDER_KEY_PARAMETER);
        }
        return orderKey;
    }

    private static long parseDestination(String addressing) throws InvalidRequestException {
        if (!DESTINATION.matcher(addressing).matches()) {
            throw new InvalidRequestException(400, "bad X-Addressing");
        }
        return Long.parseLong(addressing.substring(DESTINATION_PREFIX_LENGTH));
    }

    /**
     * Parses a remaining time such as {@code 480m} (milliseconds) or {@code 480000u} (microseconds).
     *
     * @return the time in nanoseconds, or {@link #MALFORMED_TIME}
     */
    static long parseRemainingNs(String text) {
        if (!REMAINING.matcher(text).matches()) {
            return MALFORMED_TIME;
        }
        long number = Long.parseLong(text.substring(0, text.length() - 1));
        return number * (text.endsWith("m") ? Clock.MILLISECOND_NS : NS_PER_MICROSECOND);
    }
}
