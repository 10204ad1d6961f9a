package elderseam.frontend.platform;

import elderseam.core.ActiveRequest;
import elderseam.core.AdmissionRules;
import elderseam.core.Clock;
import elderseam.core.FinalOutcome;
import elderseam.core.Frontend;
import elderseam.core.Lifecycle;
import elderseam.core.RequestDispatcher;
import elderseam.core.SettingsMap;
import elderseam.http.EndpointAddress;
import elderseam.http.EndpointConnectionPool;
import elderseam.http.HttpRequestAttributes;
import elderseam.http.HttpServer.Answerer;
import elderseam.http.HttpServer.Request;
import elderseam.http.IoLoop;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;

/** PROTOCOL's front: a message is answered at once, its end follows as a notice. */
public final class PlatformFrontend implements Frontend {
    private static final Pattern ID = Pattern.compile("[0-9A-Za-z_.:-]{1,64}"),
            DEST = Pattern.compile("dest=\\d{1,18}"),
            REMAINING = Pattern.compile("\\d{1,12}[mu]"); // once: each message meets them
    public static final byte NUMBER = 0;
    public static final int MOST_BODY = 64 << 10;

    /** A request that can't be taken on as it is; the code says why. */
    private record Fault(int code, String words) {}

    private final Clock clock;
    private final RequestDispatcher relay;
    private final NotificationSender notices;
    private final List<String> classes, tenants;
    private final Lifecycle life;
    private AdmissionRules rulings; // null while there are none

    /** {@code rulings}: the operator's rules, or null. */
    public PlatformFrontend(
            IoLoop io,
            EndpointConnectionPool connections,
            EndpointAddress platform,
            RequestDispatcher relay,
            SettingsMap settings,
            AdmissionRules rulings,
            Lifecycle life) {
        this.life = life;
        this.clock = io.clock;
        this.relay = relay;
        this.rulings = rulings;
        this.notices = new NotificationSender(io, connections, platform, relay);
        this.classes = settings.names("services");
        this.tenants = settings.names("orgs");
    }

    /** From the next message on. */
    public void rulings(AdmissionRules rulings) {
        this.rulings = rulings;
    }

    public void handle(Request r, Answerer to) {
        if (r.path().equals("/health/ready")) {
            to.answer(life.isReady() ? 200 : 503, Map.of(), "");
            return;
        }
        Object read = decode(r);
        if (read instanceof Fault f) {
            to.answer(f.code, Map.of(), f.words + "\n");
            return;
        }
        ActiveRequest.Message message = (ActiveRequest.Message) read;
        Optional<FinalOutcome> answer = rulings == null
                ? relay.submit(message)
                : rulings.rule(message, new HttpRequestAttributes("platform", r, Map.of(), r.body()))
                        .submitTo(relay);
        if (answer.isEmpty()) {
            to.answer(202, Map.of(), "");
            return;
        }
        FinalOutcome outcome = answer.get();
        switch (outcome.kind()) {
            case DELIVERED, WITHDRAWN -> to.answer(200, Map.of(), "");
            case REJECTED ->
                to.answer(
                        503,
                        Map.of("Retry-After", String.format(Locale.ROOT, "%.3f", outcome.retryAfterNs() / 1e9)),
                        "");
            case FAILED -> to.answer(500, Map.of(), "");
        }
    }

    /** The message of a request, or a {@link Fault}. */
    private Object decode(Request r) {
        int cls = classes.indexOf(r.path().startsWith("/") ? r.path().substring(1) : r.path());
        if (cls < 0) {
            return new Fault(404, "no such class");
        }
        if (!r.method().equals("POST")) {
            return new Fault(405, "only POST");
        }
        String lane = r.header("X-Lane");
        if (!lane.isEmpty() && classes.indexOf(lane) != cls) {
            return new Fault(400, "X-Lane is not the class of the path");
        }
        String id = r.header("X-Txn");
        if (!ID.matcher(id).matches()) {
            return new Fault(400, "bad X-Txn");
        }
        long remaining = remaining(r.header("X-Remaining"));
        if (remaining < 0) {
            return new Fault(400, "bad X-Remaining");
        }
        String dest = r.header("X-Addressing");
        if (!DEST.matcher(dest).matches()) {
            return new Fault(400, "bad X-Addressing");
        }
        String key = r.header("Idempotency-Key");
        if (key.length() > 256) {
            return new Fault(400, "bad Idempotency-Key");
        }
        long deadline = clock.now() + remaining;
        return new ActiveRequest.Message(
                id,
                NUMBER,
                cls,
                tenants.indexOf(r.header("X-Org")),
                Long.parseLong(dest.substring(5)),
                deadline,
                deadline,
                !r.header("X-Resent").isEmpty(),
                true,
                key,
                r.body());
    }

    /** A time such as {@code 480m} (milliseconds) or {@code 480000u} (microseconds), or -1. */
    static long remaining(String text) {
        if (!REMAINING.matcher(text).matches()) {
            return -1;
        }
        long number = Long.parseLong(text.substring(0, text.length() - 1));
        return number * (text.endsWith("m") ? Clock.MS : 1_000);
    }

    @Override
    public void completed(ActiveRequest.Message message, FinalOutcome answer) {
        if (answer.kind() == FinalOutcome.Kind.REJECTED || answer.kind() == FinalOutcome.Kind.FAILED) {
            notices.add(message, answer);
        }
    }

    @Override
    public void flushNotifications() {
        notices.tell();
    }

    /** Whether another process tells the platform from now on. */
    public void passOn(boolean passedOn) {
        notices.passOn(passedOn);
    }

    /** The platform's place for notices is elsewhere from now on. */
    public void move(EndpointAddress platform) {
        notices.move(platform);
    }

    public int owed() {
        return notices.owed();
    }
}
