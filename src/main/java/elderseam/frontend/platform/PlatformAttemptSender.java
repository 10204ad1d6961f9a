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
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A message as a call to an upstream host, and what its answer means. */
public final class PlatformAttemptSender implements AttemptSender {
    private static final double MOST_WAIT_MS = 600_000, MOST_LIMIT = 1e6; // what is more is no sense

    private final IoLoop io;
    private final EndpointConnectionPool connections;
    private final EndpointList hosts;
    private final List<String> fields;

    public PlatformAttemptSender(
            IoLoop io, EndpointConnectionPool connections, EndpointList hosts, SettingsMap settings) {
        this.io = io;
        this.connections = connections;
        this.hosts = hosts;
        this.fields = settings.list("telemetry.fields");
    }

    @Override
    public EndpointCall send(
            ActiveRequest.Message m, String host, long connectBy, long answerBy, AttemptListener attempt) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("X-Txn", m.id());
        if (!m.idempotencyKey().isEmpty()) {
            headers.put("Idempotency-Key", m.idempotencyKey());
        }
        headers.put("X-Remaining", Math.max(1, (answerBy - io.clock.now()) / Clock.MS) + "m");
        return connections.send(
                hosts.host(host),
                new HttpRequest("POST", "/receive", headers, m.body()),
                connectBy,
                answerBy,
                attempt::maySend,
                attempt::written,
                r -> attempt.answeredLate(meaning(r, fields)),
                r -> attempt.ended(meaning(r, fields)))::cancel;
    }

    @Override
    public void closeIdle(String host) {
        connections.closeIdle(hosts.host(host));
    }

    /** The meaning of an answer. Where it is spoilt, only a first line with 200 counts: it was delivered. */
    static AttemptOutcome meaning(HttpResult r, List<String> fields) {
        if (!r.answered()) {
            return r.code() == 200
                    ? new AttemptOutcome(Progress.ANSWERED, Status.DELIVERED, 0, 0, 0)
                    : AttemptOutcome.unanswered(r.progress(), r.failure());
        }
        Status status = switch (r.code()) {
            case 200 -> Status.DELIVERED;
            case 429 -> Status.OVERLOADED;
            case 503 -> r.header("X-Over-Slots").equals("1") ? Status.NO_SLOT : Status.OVERLOADED;
            case 504 -> Status.EXPIRED;
            case 410 -> Status.WITHDRAWN;
            default -> Status.ERROR;
        };
        double wait = status == Status.OVERLOADED ? Math.min(MOST_WAIT_MS, number(r.header("X-RateLimit-Wait-Ms"))) : 0;
        double left = value(r.header("X-Pressure"), fields, 0), limit = value(r.header("X-Pressure"), fields, 1);
        boolean sense = left <= 1 && limit <= MOST_LIMIT;
        return new AttemptOutcome(r.progress(), status, (long) (wait * Clock.MS), sense ? left : 0, sense ? limit : 0);
    }

    /** A field of a report such as {@code TEXT x0=0.4, x1=25}; 0 where it is not told. */
    private static double value(String pressure, List<String> fields, int index) {
        if (pressure.startsWith("TEXT ")
                && index < fields.size()
                && !fields.get(index).isEmpty()) {
            for (String pair : pressure.substring(5).split(",")) {
                int eq = pair.indexOf('=');
                if (eq > 0 && pair.substring(0, eq).strip().equals(fields.get(index))) {
                    return number(pair.substring(eq + 1).strip());
                }
            }
        }
        return 0;
    }

    private static double number(String text) {
        try {
            double value = text.isEmpty() ? 0 : Double.parseDouble(text);
            return Double.isFinite(value) ? Math.max(0, value) : 0;
        } catch (NumberFormatException e) {
            return 0;
        }
    }
}
