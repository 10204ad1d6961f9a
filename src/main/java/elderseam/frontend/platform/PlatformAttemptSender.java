package elderseam.frontend.platform;

import elderseam.core.ActiveRequest;
import elderseam.core.AttemptListener;
import elderseam.core.AttemptOutcome;
import elderseam.core.AttemptOutcome.Progress;
import elderseam.core.AttemptOutcome.Status;
import elderseam.core.AttemptSender;
import elderseam.core.Clock;
import elderseam.core.EndpointCall;
import elderseam.core.SettingsMap;
import elderseam.http.EndpointConnectionPool;
import elderseam.http.HttpRequest;
import elderseam.http.HttpResult;
import elderseam.http.IoLoop;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

/** Sends attempts to the platform's endpoints and classifies their responses. Confined to the I/O thread. */
public final class PlatformAttemptSender implements AttemptSender {
    /** A longer Retry-After counts as this one. */
    private static final double MAX_RETRY_AFTER_MS = 600_000;

    /** A load report with a higher limit, in requests a second, is ignored. */
    private static final double MAX_REPORTED_LIMIT_PER_S = 1e6;

    private static final String LOAD_REPORT_HEADER = "X-Pressure";
    private static final String LOAD_REPORT_PREFIX = "TEXT ";

    /** Positions of the load report's fields in the setting that names them. */
    private static final int SHARE_LEFT_FIELD = 0;

    private static final int LIMIT_FIELD = 1;

    private static final String PATH = "/receive";

    /** Takes several messages in one call. */
    private static final String BATCH_PATH = "/receive-many";

    /** Of the JSON array of a call with several messages. */
    private static final int BRACKET_BYTES = 2;

    private final IoLoop io;
    private final EndpointConnectionPool connections;
    private final EndpointList endpoints;
    private final List<String> loadReportFields;

    /**
     * @param endpoints where the endpoints are
     * @param settings name the fields of load reports
     */
    public PlatformAttemptSender(
            IoLoop io, EndpointConnectionPool connections, EndpointList endpoints, SettingsMap settings) {
        this.io = io;
        this.connections = connections;
        this.endpoints = endpoints;
        this.loadReportFields = settings.list("telemetry.fields");
    }

    @Override
    public List<EndpointCall> sendAll(List<CallEntry> entries, String endpoint, long connectBy, long answerBy) {
        List<EndpointCall> calls = new ArrayList<>(entries.size());
        for (List<CallEntry> call : withinSizeLimit(entries)) {
            CallEntry first = call.get(0);
            EndpointCall cancel = call.size() == 1
                    ? send(first.message(), endpoint, connectBy, answerBy, first.listener())
                    : sendTogether(call, endpoint, connectBy, answerBy);
            call.forEach(entry -> calls.add(cancel));
        }
        return calls;
    }

    /** The entries in their order, in as few calls as the limit of a body's size allows. */
    private static List<List<CallEntry>> withinSizeLimit(List<CallEntry> entries) {
        List<List<CallEntry>> calls = new ArrayList<>(1);
        int bytes = PlatformFrontend.MAX_BODY_BYTES;
        for (CallEntry entry : entries) {
            int entryBytes = BatchCodec.maxBytes(entry.message());
            bytes += entryBytes;
            if (bytes > PlatformFrontend.MAX_BODY_BYTES - BRACKET_BYTES) {
                calls.add(new ArrayList<>(entries.size()));
                bytes = entryBytes;
            }
            calls.get(calls.size() - 1).add(entry);
        }
        return calls;
    }

    private EndpointCall sendTogether(List<CallEntry> call, String endpoint, long connectBy, long answerBy) {
        Map<String, String> headers = Map.of(PlatformRequestDecoder.REMAINING_HEADER, remaining(answerBy));
        byte[] body = BatchCodec.encode(call.stream().map(CallEntry::message).toList());
        return connections.send(
                endpoints.addressOf(endpoint),
                new HttpRequest("POST", BATCH_PATH, headers, body),
                connectBy,
                answerBy,
                () -> call.stream().allMatch(entry -> entry.listener().maySend()),
                () -> call.forEach(entry -> entry.listener().written()),
                result -> forEachOutcome(call, result, AttemptListener::answeredLate),
                result -> forEachOutcome(call, result, AttemptListener::ended))::cancel;
    }

    private void forEachOutcome(
            List<CallEntry> call, HttpResult result, BiConsumer<AttemptListener, AttemptOutcome> event) {
        AttemptOutcome whole = classifyBatch(result, loadReportFields);
        Map<String, Status> states = BatchCodec.states(result);
        for (CallEntry entry : call) {
            event.accept(
                    entry.listener(),
                    BatchCodec.outcome(result, whole, states, entry.message().id()));
        }
    }

    private String remaining(long answerBy) {
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
        headers.put(PlatformRequestDecoder.REMAINING_HEADER, remaining(answerBy));
        return connections.send(
                endpoints.addressOf(endpoint),
                new HttpRequest("POST", PATH, headers, message.body()),
                connectBy,
                answerBy,
                listener::maySend,
                listener::written,
                result -> listener.answeredLate(classify(result, loadReportFields)),
                result -> listener.ended(classify(result, loadReportFields)))::cancel;
    }

    @Override
    public void closeIdle(String endpoint) {
        connections.closeIdle(endpoints.addressOf(endpoint));
    }

    /**
     * The outcome of an attempt by its HTTP result. Of a response that broke off only the status 200 counts: the request
     * was delivered.
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

    /** As {@link #classify}, of a call with several messages, whose answer may hold a wait whatever became of them. */
    static AttemptOutcome classifyBatch(HttpResult result, List<String> loadReportFields) {
        if (!result.answered()) {
            return AttemptOutcome.unanswered(result.progress(), result.failure());
        }
        return outcome(result, batchStatus(result), true, loadReportFields);
    }

    /** What a status says of all messages alike; one that the protocol does not know leaves them as having run, perhaps. */
    private static Status batchStatus(HttpResult result) {
        return switch (result.code()) {
            case 200, 429, 503 -> status(result);
            case 400, 413 -> Status.OVERLOADED; // not read, or too many messages: none of them has run
            default -> Status.ERROR;
        };
    }

    private static AttemptOutcome outcome(
            HttpResult result, Status status, boolean mayHoldWait, List<String> loadReportFields) {
        double retryAfterMs = mayHoldWait ? number(result.header("X-RateLimit-Wait-Ms")) : 0;
        long retryAfterNs = (long) (Math.min(MAX_RETRY_AFTER_MS, retryAfterMs) * Clock.MILLISECOND_NS);
        String report = result.header(LOAD_REPORT_HEADER);
        double shareLeft = reportedNumber(report, loadReportFields, SHARE_LEFT_FIELD);
        double limitPerS = reportedNumber(report, loadReportFields, LIMIT_FIELD);
        if (shareLeft > 1 || limitPerS > MAX_REPORTED_LIMIT_PER_S) {
            return new AttemptOutcome(result.progress(), status, retryAfterNs, 0, 0);
        }
        return new AttemptOutcome(result.progress(), status, retryAfterNs, shareLeft, limitPerS);
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

    /** A field of a load report such as {@code TEXT x0=0.4, x1=25}; 0 where it is not reported. */
    private static double reportedNumber(String report, List<String> fields, int index) {
        if (!report.startsWith(LOAD_REPORT_PREFIX)
                || index >= fields.size()
                || fields.get(index).isEmpty()) {
            return 0;
        }
        String field = fields.get(index);
        for (String pair : report.substring(LOAD_REPORT_PREFIX.length()).split(",")) {
            int equals = pair.indexOf('=');
            if (equals > 0 && pair.substring(0, equals).strip().equals(field)) {
                return number(pair.substring(equals + 1).strip());
            }
        }
        return 0;
    }

    /** A number as a response holds it; 0 where it is malformed, negative or not finite. */
    private static double number(String text) {
        try {
            double value = text.isEmpty() ? 0 : Double.parseDouble(text);
            return Double.isFinite(value) ? Math.max(0, value) : 0;
        } catch (NumberFormatException e) {
            return 0;
        }
    }
}
