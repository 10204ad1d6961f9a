package elderseam.frontend.platform;

import elderseam.core.ActiveRequest;
import elderseam.core.AttemptConnection;
import elderseam.core.AttemptListener;
import elderseam.core.AttemptOutcome;
import elderseam.core.AttemptOutcome.Progress;
import elderseam.core.AttemptOutcome.Status;
import elderseam.core.AttemptSender;
import elderseam.core.Clock;
import elderseam.core.ConnectionReuse;
import elderseam.core.EndpointCall;
import elderseam.core.RetryAfterListener;
import elderseam.core.SettingsMap;
import elderseam.http.AttemptExchange;
import elderseam.http.EndpointConnectionPool;
import elderseam.http.ExchangeListener;
import elderseam.http.HttpRequest;
import elderseam.http.HttpResult;
import elderseam.http.IoLoop;
import elderseam.http.ResponseHeadListener;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

/** Sends attempts to the platform's endpoints and classifies their responses. Confined to the I/O thread. */
public final class PlatformAttemptSender implements AttemptSender {
    /** A load report with a higher limit, in requests a second, is ignored. */
    private static final double MAX_REPORTED_LIMIT_PER_S = 1e6;

    private static final String LOAD_REPORT_HEADER = "X-Pressure";
    private static final String LOAD_REPORT_PREFIX = "TEXT ";

    /** The index of the headroom field's name in the setting that names the fields of load reports. */
    private static final int HEADROOM_FIELD_INDEX = 0;

    /** The index of the limit field's name in the same setting. */
    private static final int LIMIT_FIELD_INDEX = 1;

    private static final String PATH = "/receive";

    /** The path of calls with several messages. */
    private static final String BATCH_PATH = "/receive-many";

    /** The size of the brackets around the JSON array of a batch call. */
    private static final int BRACKET_BYTES = 2;

    private final IoLoop io;
    private final EndpointConnectionPool connections;
    private final EndpointList endpoints;
    private final List<String> loadReportFields;
    private final PlatformRetryAfter retryAfter;

    /**
     * @param endpoints provides the network addresses of endpoints
     * @param settings contains the names of the fields of load reports
     * @param retryAfter receives the waits that endpoints ask for
     */
    public PlatformAttemptSender(
            IoLoop io,
            EndpointConnectionPool connections,
            EndpointList endpoints,
            SettingsMap settings,
            RetryAfterListener retryAfter) {
        this.io = io;
        this.connections = connections;
        this.endpoints = endpoints;
        this.loadReportFields = settings.list("telemetry.fields");
        this.retryAfter = new PlatformRetryAfter(retryAfter);
    }

    @Override
    public List<EndpointCall> sendAll(List<CallEntry> entries, String endpoint, long connectBy, long answerBy) {
        List<EndpointCall> calls = new ArrayList<>(entries.size());
        for (List<CallEntry> batch : splitBySize(entries)) {
            CallEntry first = batch.get(0);
            EndpointCall call = batch.size() == 1
                    ? send(first.message(), endpoint, connectBy, answerBy, first.listener())
                    : sendBatch(batch, endpoint, connectBy, answerBy);
            batch.forEach(entry -> calls.add(call));
        }
        return calls;
    }

    /** Splits the entries, in their order, into as few batches as the maximum size of a request body allows. */
    private static List<List<CallEntry>> splitBySize(List<CallEntry> entries) {
        List<List<CallEntry>> batches = new ArrayList<>(1);
        int bytes = PlatformFrontend.MAX_BODY_BYTES; // the first entry starts a batch
        for (CallEntry entry : entries) {
            int entryBytes = BatchCodec.maxEncodedBytes(entry.message());
            bytes += entryBytes;
            if (bytes > PlatformFrontend.MAX_BODY_BYTES - BRACKET_BYTES) {
                batches.add(new ArrayList<>(entries.size()));
                bytes = entryBytes;
            }
            batches.get(batches.size() - 1).add(entry);
        }
        return batches;
    }

    private EndpointCall sendBatch(List<CallEntry> batch, String endpoint, long connectBy, long answerBy) {
        Map<String, String> headers = Map.of(PlatformRequestDecoder.REMAINING_HEADER, remainingHeaderValue(answerBy));
        byte[] body = BatchCodec.encode(batch.stream().map(CallEntry::message).toList());
        return connections.send(
                endpoints.addressOf(endpoint),
                new HttpRequest("POST", BATCH_PATH, headers, body),
                connectBy,
                answerBy,
                new BatchExchange(batch))::cancel;
    }

    /**
     * Passes the events of a shared call to the listener of each attempt. A delivery can't be refuted, since the response
     * names the ids of the messages.
     */
    private final class BatchExchange implements ExchangeListener {
        private final List<CallEntry> batch;

        BatchExchange(List<CallEntry> batch) {
            this.batch = batch;
        }

        /** The strictest of what its messages allow; {@link ConnectionReuse} has the stricter ones last. */
        @Override
        public ConnectionReuse connectionReuse() {
            return batch.stream()
                    .map(entry -> entry.listener().connectionReuse())
                    .max(Comparator.naturalOrder())
                    .orElseThrow();
        }

        @Override
        public ResponseHeadListener responseHeads() {
            return retryAfter;
        }

        @Override
        public boolean maySend() {
            return batch.stream().allMatch(entry -> entry.listener().maySend());
        }

        @Override
        public void written(AttemptConnection connection) {
            batch.forEach(entry -> entry.listener().written(connection));
        }

        @Override
        public boolean awaitsLateResult() {
            return true;
        }

        @Override
        public void lateResult(HttpResult result) {
            forEachOutcome(batch, result, AttemptListener::answeredLate);
        }

        @Override
        public void ended(HttpResult result) {
            forEachOutcome(batch, result, AttemptListener::ended);
        }
    }

    private void forEachOutcome(
            List<CallEntry> batch, HttpResult result, BiConsumer<AttemptListener, AttemptOutcome> callback) {
        AttemptOutcome callOutcome = classifyBatch(result, loadReportFields);
        Map<String, Status> statuses = BatchCodec.statusesById(result);
        for (CallEntry entry : batch) {
            callback.accept(
                    entry.listener(),
                    BatchCodec.outcome(
                            result, callOutcome, statuses, entry.message().id()));
        }
    }

    /** The value of the header with the remaining time: whole milliseconds, at least one. */
    private String remainingHeaderValue(long answerBy) {
        return Math.max(1, (answerBy - io.clock.now()) / Clock.MILLISECOND_NS) + "m";
    }

    @Override
    public EndpointCall send(
            ActiveRequest.Message message, String endpoint, long connectBy, long answerBy, AttemptListener listener) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("X-Txn", message.id());
        if (!message.idempotencyKey().isEmpty()) {
            headers.put("Idempotency-Key", message.idempotencyKey());
        }
        headers.put(PlatformRequestDecoder.REMAINING_HEADER, remainingHeaderValue(answerBy));
        return connections.send(
                        endpoints.addressOf(endpoint),
                        new HttpRequest("POST", PATH, headers, message.body()),
                        connectBy,
                        answerBy,
                        new AttemptExchange(
                                listener,
                                listener.connectionReuse(),
                                retryAfter,
                                result -> classify(result, loadReportFields)))::cancel;
    }

    @Override
    public void closeIdle(String endpoint) {
        connections.closeIdle(endpoints.addressOf(endpoint));
    }

    /**
     * Returns the outcome of an attempt for its HTTP result. In an incomplete response only the HTTP status 200 counts:
     * it shows that the request was delivered.
     */
    static AttemptOutcome classify(HttpResult result, List<String> loadReportFields) {
        if (!result.answered()) {
            return result.code() == 200
                    ? new AttemptOutcome(Progress.ANSWERED, Status.DELIVERED, 0, 0, 0)
                    : AttemptOutcome.unanswered(result.progress(), result.failure());
        }
        Status status = status(result);
        return outcome(result, status, status == Status.OVERLOADED, loadReportFields);
    }

    /**
     * Returns the outcome of a call with several messages for its HTTP result. Unlike in {@link #classify}, a
     * Retry-After counts whatever the status of the response, since it may accompany any outcomes of the messages.
     */
    static AttemptOutcome classifyBatch(HttpResult result, List<String> loadReportFields) {
        if (!result.answered()) {
            return AttemptOutcome.unanswered(result.progress(), result.failure());
        }
        return outcome(result, batchStatus(result), true, loadReportFields);
    }

    /** The status of all messages of a call. If the protocol does not define the HTTP status, they may have run. */
    private static Status batchStatus(HttpResult result) {
        return switch (result.code()) {
            case 200, 429, 503 -> status(result);
            case 400, 413 -> Status.OVERLOADED; // the body was not read, or has too many messages: none has run
            default -> Status.ERROR;
        };
    }

    private static AttemptOutcome outcome(
            HttpResult result, Status status, boolean retryAfterCounts, List<String> loadReportFields) {
        long retryAfterNs =
                retryAfterCounts ? PlatformRetryAfter.nanoseconds(result.header(PlatformRetryAfter.HEADER)) : 0;
        String report = result.header(LOAD_REPORT_HEADER);
        double headroom = loadReportValue(report, loadReportFields, HEADROOM_FIELD_INDEX);
        double limitPerS = loadReportValue(report, loadReportFields, LIMIT_FIELD_INDEX);
        if (headroom > 1 || limitPerS > MAX_REPORTED_LIMIT_PER_S) {
            return new AttemptOutcome(result.progress(), status, retryAfterNs, 0, 0);
        }
        return new AttemptOutcome(result.progress(), status, retryAfterNs, headroom, limitPerS);
    }

    private static Status status(HttpResult result) {
        return switch (result.code()) {
            case 200 -> Status.DELIVERED;
            case 429 -> Status.OVERLOADED;
            case 503 -> result.header("X-Over-Slots").equals("1") ? Status.NO_SLOT : Status.OVERLOADED;
            case 504 -> Status.EXPIRED;
            case 410 -> Status.WITHDRAWN;
            default -> Status.ERROR;
        };
    }

    /** The value of a field in a load report such as {@code TEXT x0=0.4, x1=25}; 0 if the field is not reported. */
    private static double loadReportValue(String report, List<String> fields, int index) {
        if (!report.startsWith(LOAD_REPORT_PREFIX)
                || index >= fields.size()
                || fields.get(index).isEmpty()) {
            return 0;
        }
        String field = fields.get(index);
        for (String pair : report.substring(LOAD_REPORT_PREFIX.length()).split(",")) {
            int equalsSign = pair.indexOf('=');
            if (equalsSign > 0 && pair.substring(0, equalsSign).strip().equals(field)) {
                return parseNumber(pair.substring(equalsSign + 1).strip());
            }
        }
        return 0;
    }

    /** Parses a number in a response; 0 if it is malformed, negative or not finite. */
    private static double parseNumber(String text) {
        return Math.max(0, FiniteNumber.parse(text).orElse(0));
    }
}
