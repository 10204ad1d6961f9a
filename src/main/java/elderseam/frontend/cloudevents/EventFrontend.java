package elderseam.frontend.cloudevents;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import elderseam.core.ActiveRequest;
import elderseam.core.AdmissionRules;
import elderseam.core.Clock;
import elderseam.core.FinalOutcome;
import elderseam.core.Frontend;
import elderseam.core.RequestDispatcher;
import elderseam.core.SettingsMap;
import elderseam.http.HttpRequestAttributes;
import elderseam.http.HttpServer.Answerer;
import elderseam.http.HttpServer.Request;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/** CloudEvents over HTTP: the answer to a request is the final answer of its event, or of each event of its batch. */
public final class EventFrontend implements Frontend {
    public static final byte NUMBER = 1;
    public static final int MOST_BODY = EventCodec.MOST_BATCH;
    private static final String PATH = "/events";
    private static final int MOST_WAITING = 1_000;

    /** What is said of one event. {@code again}: seconds after which a refused one may come again. */
    private record Verdict(int code, String status, long again, String fault) {
        static Verdict of(FinalOutcome answer) {
            return switch (answer.kind()) {
                case DELIVERED -> new Verdict(200, "delivered", 0, "");
                case REJECTED ->
                    new Verdict(
                            503, "refused", Math.max(1, (answer.retryAfterNs() + 999_999_999L) / 1_000_000_000L), "");
                case FAILED, WITHDRAWN -> new Verdict(502, "failed", 0, "");
            };
        }
    }

    private final ObjectMapper json = new ObjectMapper();
    private final RequestDispatcher relay;
    private final EventCodec codec;
    private final WebHookHandshake webHook;
    private final Map<String, List<Consumer<Verdict>>> waiting = new HashMap<>();
    private AdmissionRules rulings; // null while there are none
    private int waiters;

    /** {@code rulings}: the operator's rules, or null. */
    public EventFrontend(
            Clock clock,
            RequestDispatcher relay,
            SettingsMap settings,
            EventConfiguration events,
            AdmissionRules rulings) {
        this.relay = relay;
        this.rulings = rulings;
        this.codec = new EventCodec(clock, settings, events.rememberNs());
        this.webHook = new WebHookHandshake(events.origins(), events.rate());
    }

    /** From the next event on. */
    public void rulings(AdmissionRules rulings) {
        this.rulings = rulings;
    }

    public void handle(Request r, Answerer to) {
        if (!r.path().equals(PATH)) {
            to.answer(404, Map.of(), "");
            return;
        }
        if (r.method().equals("OPTIONS")) {
            WebHookHandshake.Reply reply = webHook.answer(r);
            to.answer(reply.code(), reply.headers(), "");
            return;
        }
        if (!r.method().equals("POST")) {
            to.answer(405, Map.of("Allow", webHook.origins().isEmpty() ? "POST" : "POST, OPTIONS"), "");
            return;
        }
        EventCodec.Decoded decoded = codec.decode(r, rulings != null);
        List<EventCodec.Item> items = decoded.items();
        Verdict[] verdicts = new Verdict[items.size()];
        int[] open = {items.size()};
        if (items.isEmpty()) {
            answer(decoded, verdicts, to);
        }
        for (int i = 0; i < items.size(); i++) {
            int at = i;
            take(r, items.get(i), verdict -> {
                verdicts[at] = verdict;
                if (--open[0] == 0) {
                    answer(decoded, verdicts, to);
                }
            });
        }
    }

    private void take(Request r, EventCodec.Item item, Consumer<Verdict> then) {
        if (item.message() == null) {
            then.accept(new Verdict(item.code(), "invalid", 0, item.fault()));
            return;
        }
        if (waiters >= MOST_WAITING) {
            then.accept(new Verdict(503, "refused", 1, "too many requests wait for their answers"));
            return;
        }
        AdmissionRules.Ruling ruling = rulings == null
                ? null
                : rulings.rule(item.message(), new HttpRequestAttributes("events", r, item.attributes(), item.data()));
        if (ruling instanceof AdmissionRules.Invalid invalid) {
            then.accept(new Verdict(400, "invalid", 0, invalid.reason()));
            return;
        }
        Optional<FinalOutcome> answer = ruling == null ? relay.submit(item.message()) : ruling.submitTo(relay);
        if (answer.isPresent()) {
            then.accept(Verdict.of(answer.get()));
            return;
        }
        waiters++;
        waiting.computeIfAbsent(item.message().id(), id -> new ArrayList<>(1)).add(then);
    }

    @Override
    public void completed(ActiveRequest.Message message, FinalOutcome answer) {
        relay.markNotified(message.id());
        List<Consumer<Verdict>> told = waiting.remove(message.id());
        if (told != null) {
            waiters -= told.size();
            told.forEach(t -> t.accept(Verdict.of(answer)));
        }
    }

    private void answer(EventCodec.Decoded decoded, Verdict[] verdicts, Answerer to) {
        Map<String, String> headers = new HashMap<>(Map.of("Content-Type", "application/json"));
        if (!decoded.batch()) {
            if (verdicts[0].again > 0) {
                headers.put("Retry-After", Long.toString(verdicts[0].again));
            }
            to.answer(verdicts[0].code, headers, node(decoded.items().get(0), verdicts[0]) + "\n");
            return;
        }
        ArrayNode all = json.createArrayNode();
        for (int i = 0; i < verdicts.length; i++) {
            all.add(node(decoded.items().get(i), verdicts[i]));
        }
        to.answer(207, headers, all + "\n");
    }

    private ObjectNode node(EventCodec.Item item, Verdict verdict) {
        ObjectNode n = json.createObjectNode()
                .put("source", item.source())
                .put("id", item.id())
                .put("status", verdict.status)
                .put("code", verdict.code);
        if (verdict.again > 0) {
            n.put("retry_after", verdict.again);
        }
        return verdict.fault.isEmpty() ? n : n.put("fault", verdict.fault);
    }
}
